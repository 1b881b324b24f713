/**
 * Runs the programs under random faults and checks the promises of the system.
 * For example: `npm run soak -- --seed 7 --minutes 1`. On a finding it prints
 * the command that plays the seed again, and keeps the logs.
 */
import { rmSync } from "node:fs";
import { join } from "node:path";
import sade from "sade";
import { runSoakSeed } from "./soak/run_soak_seed.ts";

/** Two thirds of the processes are agents. */
const ENTRY_SHARE = 1 / 3;

interface Options {
  seed: number;
  seeds: number;
  minutes: number;
  processes: number;
  folder: string;
}

sade("run_soak", true)
  .describe("Runs the programs under random faults.")
  .option("--seed", "First seed; 0 takes the time of day", 0)
  .option("--seeds", "Number of seeds, one after the other", 1)
  .option("--minutes", "Length of the faults of each seed", 0.5)
  .option("--processes", "Entries and agents together", 9)
  .option("--folder", "Folder for settings and logs", "run/soak")
  .action(async (options: Options) => {
    const first = options.seed || Date.now() % 1_000_000;
    const failed: number[] = [];
    for (let seed = first; seed < first + options.seeds; seed++) {
      if (!await runSeed(seed, options)) {
        failed.push(seed);
      }
    }
    console.log(
      `${options.seeds - failed.length} of ${options.seeds} seeds passed` +
        (failed.length > 0 ? `; failed: ${failed.join(", ")}` : ""),
    );
    process.exit(failed.length === 0 ? 0 : 1);
  })
  .parse(process.argv);

async function runSeed(seed: number, options: Options): Promise<boolean> {
  const { minutes, processes } = options;
  const folder = join(options.folder, String(seed));
  const entries = Math.max(1, Math.round(processes * ENTRY_SHARE));
  const result = await runSoakSeed({
    seed,
    lengthMs: minutes * 60_000,
    entries,
    agents: Math.max(2, processes - entries),
    folder,
  });
  const {
    violations,
    faults,
    jobCount: jobs,
    startCount: starts,
    outcomeCounts: answers,
  } = result;
  console.log(
    `seed ${seed}: ${faults.length} faults, ${jobs} jobs, ${starts} starts, ${
      JSON.stringify(answers)
    }`,
  );
  if (violations.length === 0) {
    rmSync(folder, { recursive: true, force: true });
    return true;
  }
  violations.forEach((violation) => console.log(`  ${violation}`));
  faults.forEach((fault) => console.log(`    ${fault}`));
  console.log(
    `  again: npm run soak -- --seed ${seed} --minutes ${minutes} ` +
      `--processes ${processes}; logs in ${folder}`,
  );
  return false;
}
