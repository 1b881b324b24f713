/**
 * Runs a cluster under random faults, and checks the guarantees of the system.
 * For example: `npm run soak -- --seed 7 --minutes 1`. On a violation it prints
 * the command that repeats the seed, and keeps the logs.
 */
import { rmSync } from "node:fs";
import { join } from "node:path";
import sade from "sade";
import { runSoakSeed } from "./soak/run_soak_seed.ts";

/** Share of entries among the processes; the others are agents. */
const ENTRY_SHARE = 1 / 3;

interface Options {
  seed: number;
  seeds: number;
  minutes: number;
  processes: number;
  folder: string;
}

sade("run_soak", true)
  .describe("Runs entries and agents under random faults.")
  .option("--seed", "First seed; 0 derives it from the time", 0)
  .option("--seeds", "Number of seeds, one after the other", 1)
  .option("--minutes", "Duration of the faults of each seed, in minutes", 0.5)
  .option("--processes", "Number of entries and agents together", 9)
  .option("--folder", "Folder for settings and logs", "run/soak")
  .action(async (options: Options) => {
    const firstSeed = options.seed || Date.now() % 1_000_000;
    const failedSeeds: number[] = [];
    for (let seed = firstSeed; seed < firstSeed + options.seeds; seed++) {
      if (!await runSeed(seed, options)) {
        failedSeeds.push(seed);
      }
    }
    console.log(
      `${options.seeds - failedSeeds.length} of ${options.seeds} seeds passed` +
        (failedSeeds.length > 0 ? `; failed: ${failedSeeds.join(", ")}` : ""),
    );
    process.exit(failedSeeds.length === 0 ? 0 : 1);
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
    jobCount,
    startCount,
    outcomeCounts,
  } = result;
  console.log(
    `seed ${seed}: ${faults.length} faults, ${jobCount} jobs, ${startCount} starts, ${
      JSON.stringify(outcomeCounts)
    }`,
  );
  if (violations.length === 0) {
    rmSync(folder, { recursive: true, force: true });
    return true;
  }
  violations.forEach((violation) => console.log(`  ${violation}`));
  faults.forEach((fault) => console.log(`    ${fault}`));
  console.log(
    `  repeat with: npm run soak -- --seed ${seed} --minutes ${minutes} ` +
      `--processes ${processes}; logs in ${folder}`,
  );
  return false;
}
