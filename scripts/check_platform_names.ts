/**
 * Checks that the platform's names of fields, calls and topics don't occur in
 * the folders that must not depend on the platform: they belong in `platform/`
 * and `deploy/`.
 */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

/** Names that the platform gives to fields, calls and topics. */
const NAMES = [
  "ackedUpTo",
  "admissionCheck",
  "antiAffinity",
  "bestEffort",
  "CRANBERRYBANK_NODE_FILE",
  "estMs",
  "heartbeatAddr",
  "holdMaxMs",
  "keyed.op",
  "lastCheckpoint",
  "log-append",
  "log-newest",
  "log-read",
  "memMb",
  "run-start",
  "run-stop",
  "targetLatencyMs",
  "X-Cranberrybank",
];

const FOLDERS = ["src", "scripts/soak", "tests/soak"];

let problems = 0;
for (const folder of FOLDERS) {
  for (
    const file of readdirSync(folder, { recursive: true, encoding: "utf8" })
  ) {
    if (file.endsWith(".ts")) {
      const text = readFileSync(join(folder, file), "utf8");
      for (const name of NAMES) {
        const escaped = name.replaceAll(".", "\\.");
        if (new RegExp(`(?<!\\w)${escaped}(?!\\w)`, "i").test(text)) {
          console.error(`${join(folder, file)}: uses the platform's ${name}`);
          problems++;
        }
      }
    }
  }
}
console.log(
  problems === 0
    ? "platform names: ok"
    : `platform names: ${problems} problems`,
);
process.exit(problems === 0 ? 0 : 1);
