import type { LogLine } from "../log_line.ts";
import type { EntryPause } from "./entry_pause.ts";
import type { ExplainedRun } from "./explained_run.ts";

/**
 * Formats how the entry of a run came to place the job: its admission, its
 * pauses before that, and the claim of the job.
 */
export function formatRunRequest(run: ExplainedRun): string[] {
  const { admission, pauses } = run;
  const request = admission === undefined ? ["admission: not logged"] : [
    `admission: ${run.start.latest - admission.time} ms before the start`,
    `pauses before the admission: ${formatPauses(pauses, admission)}`,
  ];
  return [...request, `claim: ${formatClaim(run)}`];
}

function formatPauses(
  pauses: readonly EntryPause[],
  admission: LogLine,
): string {
  return pauses.length === 0
    ? "none"
    : pauses.map((pause) => formatPause(pause, admission)).join("; ");
}

function formatPause(
  { kind, lengthMs, endedAt }: EntryPause,
  admission: LogLine,
): string {
  const agoMs = Math.max(0, admission.time - endedAt);
  switch (kind) {
    case "paused":
      return `paused for ${lengthMs} ms until ${agoMs} ms before`;
    case "silent":
      return `no line for ${lengthMs} ms until ${agoMs} ms before`;
    default:
      return kind satisfies never;
  }
}

/** Formats the state of the claim at the start, and the next line about it. */
function formatClaim(run: ExplainedRun): string {
  const startedAt = run.start.latest;
  const next = run.claimLines.find(({ time }) => time > startedAt);
  const state = formatState(run);
  if (next === undefined) {
    return state;
  }
  const other = next["claimedBy"] ?? next["holder"];
  const by = other === undefined ? "" : ` (${other})`;
  return `${state}; ${next.event}${by} ${next.time - startedAt} ms after it`;
}

function formatState({ claim }: ExplainedRun): string {
  switch (claim) {
    case "granted":
      return "granted by all agents before the start";
    case "held":
      return "held by another entry before the start";
    case "superseded":
      return "superseded by another entry before the start";
    case "not_logged":
      return "none logged before the start";
    default:
      return claim satisfies never;
  }
}
