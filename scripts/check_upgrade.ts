/**
 * Checks that processes of this build interoperate with those of another build,
 * all on this machine. Replaces entries and agents by those of the other build
 * and back, one after the other under load, and checks each mix. For example:
 * `node dist/scripts/check_upgrade.js ../old` with a built checkout in `../old`.
 */
import { resolve } from "node:path";
import sade from "sade";
import { checkClusterUpgrade } from "./upgrade/check_cluster_upgrade.ts";
import { checkPlatformUpgrade } from "./upgrade/check_platform_upgrade.ts";

sade("check_upgrade <folder>", true)
  .describe(
    "Checks that this build interoperates with that of another checkout.",
  )
  .option("--out", "Folder for settings and logs", "run/upgrade")
  .action(async (folder: string, options: { out: string }) => {
    const thisDist = new URL("..", import.meta.url).pathname;
    const otherDist = resolve(folder, "dist");
    const problems = [
      ...await checkClusterUpgrade({ thisDist, otherDist }),
      ...await checkPlatformUpgrade({
        thisDist,
        otherDist,
        folder: resolve(options.out),
      }),
    ];
    problems.forEach((problem) => console.error(problem));
    console.log(
      problems.length === 0
        ? "upgrade: ok"
        : `upgrade: ${problems.length} problems`,
    );
    process.exit(problems.length === 0 ? 0 : 1);
  })
  .parse(process.argv);
