import type { ExplainedRun } from "./explained_run.ts";
import type { OverlapCause } from "./overlap_cause.ts";

/** Formats how a task came to have two runs at the same time. */
export function formatOverlapCause(
  cause: OverlapCause,
  runs: readonly [ExplainedRun, ExplainedRun],
): string {
  switch (cause) {
    case "both_admitted":
      return formatAdmissions(runs) + formatClaims(runs) +
        formatLateReader(runs);
    case "entry_ended":
      return `${formatAdmissions(runs)}, after the first one had ended`;
    case "placed_again":
      return `${formatAdmissions(runs)}, and ${
        runs[1].entry
      } placed the task again`;
    case "admitted_later":
      return formatAdmissions(runs);
    case "one_entry":
      return `both runs are of ${runs[0].entry}`;
    case "unknown":
      return "unknown: the admission by an entry is not logged";
    default:
      return cause satisfies never;
  }
}

function formatAdmissions(runs: readonly ExplainedRun[]): string {
  const [earlier, later] = sortByAdmission(runs);
  const apartMs = getAdmissionTime(later) - getAdmissionTime(earlier);
  return `${earlier?.entry} admitted the job, and ${later?.entry} ${apartMs} ms later`;
}

/** Formats which of the entries may have read its request late. */
function formatLateReader(runs: readonly ExplainedRun[]): string {
  const readers = sortByAdmission(runs).flatMap((run) => {
    // Of several pauses, the longest one is the one that matters most.
    const pause = run.pauses.toSorted((a, b) => b.lengthMs - a.lengthMs)[0];
    if (pause === undefined) {
      return [];
    }
    const agoMs = Math.max(0, getAdmissionTime(run) - pause.endedAt);
    const what = pause.kind === "paused" ? "paused" : "logged nothing";
    return [
      `; ${run.entry} ${what} for ${pause.lengthMs} ms until ${agoMs} ms before its admission`,
    ];
  });
  return readers.length === 0
    ? "; no pause of an entry was logged in the 3 s before"
    : readers.join("");
}

function formatClaims(runs: readonly ExplainedRun[]): string {
  const holders = runs.filter(({ claim }) => claim === "granted")
    .map(({ entry }) => entry);
  return holders.length === 0
    ? "; no claim was logged before the starts"
    : `; a claim was granted to ${holders.join(" and ")}`;
}

function sortByAdmission(runs: readonly ExplainedRun[]): ExplainedRun[] {
  return runs.toSorted((a, b) => getAdmissionTime(a) - getAdmissionTime(b));
}

function getAdmissionTime(run: ExplainedRun | undefined): number {
  return run?.admission?.time ?? NaN;
}
