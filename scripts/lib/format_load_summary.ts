import type { LoadReport } from "../../src/load/mod.ts";

const METRICS: readonly {
  name: string;
  get: (report: LoadReport) => number | undefined;
}[] = [
  { name: "over ideal p50", get: (r) => r.response.overIdeal.p50 },
  { name: "over ideal p90", get: (r) => r.response.overIdeal.p90 },
  { name: "over ideal p99", get: (r) => r.response.overIdeal.p99 },
  { name: "over ref. p50", get: (r) => r.response.overReference.p50 },
  { name: "over ref. p99", get: (r) => r.response.overReference.p99 },
  {
    name: "ref. over ideal p50",
    get: (r) => r.response.referenceOverIdeal.p50,
  },
  {
    name: "ref. over ideal p99",
    get: (r) => r.response.referenceOverIdeal.p99,
  },
  { name: "waited p50 ms", get: (r) => r.delays?.waitMs.p50 },
  { name: "waited p99 ms", get: (r) => r.delays?.waitMs.p99 },
  { name: "ran longer p50 ms", get: (r) => r.delays?.slowMs.p50 },
  { name: "to answer p50 ms", get: (r) => r.delays?.returnMs.p50 },
  { name: "to answer p99 ms", get: (r) => r.delays?.returnMs.p99 },
  { name: "wasted/task", get: (r) => r.messages.wastedPerTask },
  { name: "messages/task", get: (r) => r.messages.perTask },
  { name: "extra starts/task", get: (r) => r.messages.extraStartsPerTask },
  { name: "goodput", get: (r) => r.goodput },
  { name: "complete jobs", get: (r) => (r.answers["complete"] ?? 0) / r.jobs },
  { name: "no answer", get: (r) => r.answers["no_answer"] ?? 0 },
  {
    name: "refusal p50 ms",
    get: (r) => r.refusalMs.count === 0 ? undefined : r.refusalMs.p50,
  },
  {
    name: "refusal p99 ms",
    get: (r) => r.refusalMs.count === 0 ? undefined : r.refusalMs.p99,
  },
  { name: "zone change work", get: (r) => r.work?.zoneChangeShare },
  { name: "failing: tasks lost", get: (r) => r.failingWorker?.lostTaskShare },
  { name: "failing: jobs lost", get: (r) => r.failingWorker?.lostJobShare },
  { name: "failing: starts", get: (r) => r.failingWorker?.startShare },
  { name: "press of entitled", get: (r) => r.fairness["press"]?.ofEntitled },
  {
    name: "archive of entitled",
    get: (r) => r.fairness["archive"]?.ofEntitled,
  },
  { name: "sent late p99 ms", get: (r) => r.lateMs.p99 },
  { name: "load average", get: (r) => r.loadAverage[1] },
];

/**
 * Formats each metric of the reports as its median over the seeds, with the
 * minimum and the maximum.
 */
export function formatLoadSummary(reports: readonly LoadReport[]): string {
  const groups = new Map<string, LoadReport[]>();
  for (const report of reports) {
    const name = `${report.shape} ${report.scenario} ${report.placement}`;
    groups.set(name, [...groups.get(name) ?? [], report]);
  }
  const lines: string[] = [];
  for (const [name, group] of groups) {
    lines.push(`${name} (${group.length} seeds): median [min, max]`);
    for (const metric of METRICS) {
      const values = group.map(metric.get).filter((value) =>
        value !== undefined
      ).sort((a, b) => a - b);
      if (values.length > 0) {
        const median = values[Math.floor(values.length / 2)] ?? 0;
        const range = `[${formatValue(values[0])}, ${
          formatValue(values.at(-1))
        }]`;
        lines.push(
          `  ${metric.name.padEnd(20)} ${formatValue(median)} ${range}`,
        );
      }
    }
  }
  return lines.join("\n");
}

function formatValue(value: number | undefined): string {
  return value === undefined ? "-" : String(Number(value.toPrecision(3)));
}
