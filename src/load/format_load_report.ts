import type { LoadReport } from "./load_report.ts";
import type { Percentiles } from "./percentiles.ts";

/** Formats the report of a load run as text. */
export function formatLoadReport(report: LoadReport): string {
  const { response, messages, work, failingWorker, delays } = report;
  const lines = [
    `${report.scenario} on ${report.shape}, seed ${report.seed}, placement ${report.placement}, ` +
    `load ${
      formatShare(report.load)
    }, ${report.jobs} jobs, ${report.tasks} tasks, ` +
    `load average ${report.loadAverage.join(" to ")}`,
    `  response over ideal      ${formatPercentiles(response.overIdeal)}`,
    `  response over reference  ${
      formatPercentiles(response.overReference)
    } (the reference is no bound)`,
    `  reference over ideal     ${
      formatPercentiles(response.referenceOverIdeal)
    }`,
    `  response, ms             ${formatPercentiles(response.ms)}`,
    `  sent late by, ms         ${formatPercentiles(report.lateMs)}`,
    `  answers                  ${formatCounts(report.answers)}`,
    `  failed tasks             ${formatCounts(report.taskFailures)}`,
    `  refusals "not run", ms   ${formatPercentiles(report.refusalMs)}`,
    `  goodput                  ${formatShare(report.goodput)} of the capacity`,
    ...Object.entries(report.fairness).map(([name, customer]) =>
      `  customer ${name.padEnd(15)} offered ${
        formatShare(customer.offered)
      }, completed ${formatShare(customer.completed)}, ${
        formatShare(customer.ofEntitled)
      } of its entitlement`
    ),
    `  wasted messages a task   ${
      formatNumber(messages.wastedPerTask)
    }; all messages a task ${
      formatNumber(messages.perTask)
    }; extra starts a task ${formatNumber(messages.extraStartsPerTask)}`,
  ];
  if (delays !== undefined) {
    lines.push(
      `  last task waited, ms     ${formatPercentiles(delays.waitMs)}`,
      `  ran longer, ms           ${
        formatPercentiles(delays.slowMs)
      } than on the fastest worker`,
      `  result to answer, ms     ${formatPercentiles(delays.returnMs)}`,
    );
  }
  if (work?.zoneChangeShare !== undefined) {
    lines.push(
      `  work in the zone change  ${
        formatShare(work.zoneChangeShare)
      } of what the remaining capacity allows; by second: ${
        work.doneBySecond.map((done, second) =>
          formatShare(done / Math.max(1, work.allowedBySecond[second] ?? 0))
        ).join(" ")
      }`,
    );
  }
  if (failingWorker !== undefined) {
    lines.push(
      `  failing worker           lost after its first second: ${
        formatShare(failingWorker.lostTaskShare)
      } of tasks, ${formatShare(failingWorker.lostJobShare)} of jobs; it got ${
        failingWorker.startShare === undefined
          ? "an unknown share"
          : formatShare(failingWorker.startShare)
      } of the starts`,
    );
  }
  return lines.join("\n");
}

function formatPercentiles(values: Percentiles): string {
  const { count, p50, p90, p99, max } = values;
  return count === 0
    ? "none"
    : `p50 ${p50} p90 ${p90} p99 ${p99} max ${Number(max.toPrecision(4))}`;
}

function formatCounts(counts: { readonly [kind: string]: number }): string {
  const entries = Object.entries(counts).sort(([, a], [, b]) => b - a);
  return entries.length === 0
    ? "none"
    : entries.map(([kind, count]) => `${kind} ${count}`).join(", ");
}

function formatShare(share: number): string {
  return `${(share * 100).toFixed(1)}%`;
}

function formatNumber(value: number | undefined): string {
  return value === undefined ? "not counted" : value.toFixed(3);
}
