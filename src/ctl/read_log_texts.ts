import { err, ok, type Result } from "neverthrow";
import { readdirSync, readFileSync, statSync } from "node:fs";
import { join } from "node:path";
import { createError, type DispatchError } from "../state/errors/mod.ts";

/**
 * Reads log files.
 * @param paths - Paths of files, and of folders whose files are read.
 */
export function readLogTexts(
  paths: readonly string[],
): Result<string[], DispatchError> {
  const texts: string[] = [];
  for (const path of paths) {
    try {
      texts.push(...findFiles(path).map((file) => readFileSync(file, "utf8")));
    } catch (error) {
      const message = `${path}: ${(error as Error).message}`;
      return err(createError("invalid_request", message, { path }));
    }
  }
  return ok(texts);
}

function findFiles(path: string): string[] {
  if (!statSync(path).isDirectory()) {
    return [path];
  }
  return readdirSync(path, { withFileTypes: true })
    .filter((entry) => entry.isFile())
    .map(({ name }) => join(path, name)).sort();
}
