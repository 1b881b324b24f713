/** Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if it could not run. */
import { join } from "node:path";
import { Record } from "./record.mjs";
import { System } from "./system.mjs";

const MAX_MS = 110_000;

/**
 * @param folder - URL of the case's module.
 * @param play - Plays the case; returns the breaks of the rule as lines of text.
 */
export async function runCase(moduleUrl, options, play) {
  const record = new Record();
  const system = new System({ ...options, record });
  const hasTrouble = process.env.TROUBLE !== "0";
  const path = join(new URL(".", moduleUrl).pathname, "record.txt");
  const timer = setTimeout(async () => {
    record.add("case", "ran for too long");
    record.write(path);
    await system.stop();
    process.exit(2);
  }, MAX_MS);
  let code = 2;
  try {
    await system.start();
    const breaks = await play(system, hasTrouble);
    for (const line of breaks) record.add("BROKEN", line);
    record.add("case", breaks.length > 0 ? "the rule was broken" : "the rule held");
    code = breaks.length > 0 ? 1 : 0;
  } catch (error) {
    record.add("case", `could not run: ${error.stack}`);
  }
  clearTimeout(timer);
  await system.stop();
  record.write(path);
  process.exit(code);
}
