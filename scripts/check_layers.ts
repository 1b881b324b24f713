/**
 * Checks that no layer imports from a higher layer, and that each source file
 * exports one name.
 */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

const LAYERS = ["state", "coordination", "protocol", "transport"];
const ROOT = "src";

/** A folder outside the layers whose files also export one name each. */
const ADAPTER_FOLDER = "platform";

const problems: string[] = [];
for (const file of readdirSync(ROOT, { recursive: true, encoding: "utf8" })) {
  if (file.endsWith(".ts") && !file.includes("gen/")) {
    checkFile(file);
  }
}
for (
  const file of readdirSync(ADAPTER_FOLDER).filter((name) =>
    name.endsWith(".ts")
  )
) {
  checkExports(file, readFileSync(join(ADAPTER_FOLDER, file), "utf8"));
}
for (const problem of problems) {
  console.error(problem);
}
console.log(
  problems.length === 0 ? "layers: ok" : `layers: ${problems.length} problems`,
);
process.exit(problems.length === 0 ? 0 : 1);

function checkFile(file: string): void {
  const text = readFileSync(join(ROOT, file), "utf8");
  const layer = LAYERS.indexOf(file.split("/")[0] as string);
  for (const match of text.matchAll(/from "((?:\.\.?\/)[^"]+)"/g)) {
    const target = join(file, "..", match[1] as string);
    const targetFolder = target.split("/")[0] as string;
    const targetLayer = LAYERS.indexOf(targetFolder);
    const isUpward = targetLayer > layer ||
      (targetLayer < 0 && targetFolder !== file.split("/")[0]);
    if (layer >= 0 && isUpward) {
      problems.push(`${file}: imports ${target}, which is in a layer above`);
    }
  }
  if (!file.endsWith("mod.ts")) {
    checkExports(file, text);
  }
}

/**
 * Checks that a file exports one name. The options interface of a class or a
 * function doesn't count.
 */
function checkExports(file: string, text: string): void {
  const names = new Set<string>();
  const pattern =
    /^export (?:abstract )?(?:async )?(?:class|function|interface|type|const) (\w+)/gm;
  for (const match of text.matchAll(pattern)) {
    const name = match[1] as string;
    if (!name.endsWith("Options")) {
      names.add(name);
    }
  }
  if (names.size > 1) {
    problems.push(
      `${file}: exports ${
        [...names].join(", ")
      }; one export per file is allowed`,
    );
  }
}
