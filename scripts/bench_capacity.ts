/**
 * Measures processor time, memory and bytes of each role against what drives
 * them, so that slopes result. Run it with
 * `node --expose-gc dist/scripts/bench_capacity.js --parts agent --seconds 8`;
 * the parts are agent, entry, view and log.
 */
import sade from "sade";
import { runAgentBench } from "./lib/bench/run_agent_bench.ts";
import { runEntryBench } from "./lib/bench/run_entry_bench.ts";
import { runLogBench } from "./lib/bench/run_log_bench.ts";
import { runViewBench } from "./lib/bench/run_view_bench.ts";

const PARTS: { [name: string]: (seconds: number) => Promise<void> | void } = {
  view: runViewBench,
  log: runLogBench,
  agent: runAgentBench,
  entry: runEntryBench,
};

sade("bench_capacity", true)
  .option("--parts", "Parts, separated by commas", Object.keys(PARTS).join())
  .option("--seconds", "Time of each measured point", 8)
  .action(async (options: { parts: string; seconds: number }) => {
    for (const name of options.parts.split(",")) {
      await PARTS[name]?.(options.seconds);
    }
    process.exit(0);
  })
  .parse(process.argv);
