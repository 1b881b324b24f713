/**
 * Measures how the CPU time, the memory and the network traffic of each role
 * grow with its load. For example:
 * `node --expose-gc dist/scripts/bench_capacity.js --parts agent --seconds 8`.
 * The parts are agent, entry, view and log.
 */
import sade from "sade";
import { runAgentBench } from "./lib/bench/run_agent_bench.ts";
import { runEntryBench } from "./lib/bench/run_entry_bench.ts";
import { runLogBench } from "./lib/bench/run_log_bench.ts";
import { runViewBench } from "./lib/bench/run_view_bench.ts";

const BENCHMARKS: {
  [name: string]: (seconds: number) => Promise<void> | void;
} = {
  view: runViewBench,
  log: runLogBench,
  agent: runAgentBench,
  entry: runEntryBench,
};

sade("bench_capacity", true)
  .option(
    "--parts",
    "Benchmarks to run, separated by commas",
    Object.keys(BENCHMARKS).join(),
  )
  .option("--seconds", "Duration of each measurement, in seconds", 8)
  .action(async (options: { parts: string; seconds: number }) => {
    for (const name of options.parts.split(",")) {
      await BENCHMARKS[name]?.(options.seconds);
    }
    process.exit(0);
  })
  .parse(process.argv);
