import type { LogLine } from "../log_line.ts";
import { AgentRunHistory } from "./agent_run_history.ts";
import type { LoggedRun } from "./logged_run.ts";

/**
 * Finds the runs at all agents, by the names of their tasks.
 * @param lines - Log lines of all processes, in the order of their times.
 */
export function findLoggedRuns(
  lines: readonly LogLine[],
): Map<string, LoggedRun[]> {
  const histories = new Map<string, AgentRunHistory>();
  for (const line of lines) {
    let history = histories.get(line.process);
    if (history === undefined) {
      history = new AgentRunHistory();
      histories.set(line.process, history);
    }
    history.addLine(line);
  }
  const runsByTask = new Map<string, LoggedRun[]>();
  for (
    const run of [...histories.values()].flatMap((each) => each.takeRuns())
  ) {
    const runs = runsByTask.get(run.task) ?? [];
    runs.push(run);
    runsByTask.set(run.task, runs);
  }
  return runsByTask;
}
