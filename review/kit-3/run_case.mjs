/** Runs a case, writes its record, and ends with the exit code that tells the result. */
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { Site } from "./site.mjs";

const EXIT = { held: 0, broken: 1, notRun: 2 };

/**
 * @param folder - Folder of the case.
 * @param play - Plays the case on a site; returns the lines that tell where the rule was
 * broken. Called with `hasTrouble: false` when it is played without the disruption.
 */
export async function runCase(folder, { site: options, play, maxMs = 110_000 }) {
  const hasTrouble = process.env.TROUBLE !== "0";
  const lines = [];
  const startedAt = performance.now();
  const record = (text, at = performance.now()) => lines.push({ at, text });
  const site = new Site({
    onEvent: ({ kind, at, worker, task, run, how }) => {
      if (kind !== "end_noted") {
        const parts = [task, run === undefined ? undefined : `run ${run}`, how];
        record([`${worker}: ${kind}`, ...parts.filter((part) => part !== undefined)].join(" "), at);
      }
    },
  });
  let code = EXIT.notRun;
  let timer;
  try {
    const timeout = new Promise((_, reject) => {
      timer = setTimeout(() => reject(new Error("the case took too long")), maxMs);
    });
    const played = (async () => {
      await site.start(options);
      record(`the site is ready; ${hasTrouble ? "with" : "without"} the disruption`);
      return await play({ site, record, hasTrouble });
    })();
    const broken = await Promise.race([played, timeout]);
    broken.forEach((text) => record(`BROKEN: ${text}`));
    code = broken.length > 0 ? EXIT.broken : EXIT.held;
    record(broken.length > 0 ? `the rule was broken ${broken.length} times` : "the rule held");
  } catch (error) {
    record(`the case couldn't run: ${error.stack}`);
  } finally {
    clearTimeout(timer);
    await site.stop();
  }
  const text = lines.sort((a, b) => a.at - b.at)
    .map(({ at, text }) => `${((at - startedAt) / 1_000).toFixed(4).padStart(9)} s  ${text}\n`);
  writeFileSync(join(folder, "record.txt"), text.join(""));
  console.log(lines.slice(-6).map(({ text }) => text).join("\n"));
  process.exit(code);
}
