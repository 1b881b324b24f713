import { expect } from "chai";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { runSoakSeed } from "../../scripts/soak/run_soak_seed.ts";
import { FAILED_SEEDS } from "./failed_seeds.ts";

const SHORT_RUN = {
  seed: 1,
  lengthMs: 10_000,
  entries: 2,
  agents: 4,
  cause: "short run",
};

describe("soak test", function () {
  this.timeout(120_000);
  for (const { cause, ...options } of [SHORT_RUN, ...FAILED_SEEDS]) {
    it(`finds no violation with seed ${options.seed} (${cause})`, async () => {
      const folder = mkdtempSync(join(tmpdir(), "cranberrybank-soak-"));
      const result = await runSoakSeed({ ...options, folder });
      console.log(
        `      ${result.faults.length} faults, ${result.jobCount} jobs, ${result.startCount} starts; logs in ${folder}`,
      );
      expect(result.violations).to.deep.equal([]);
      expect(result.startCount).to.be.greaterThan(0);
      rmSync(folder, { recursive: true, force: true });
    });
  }
});
