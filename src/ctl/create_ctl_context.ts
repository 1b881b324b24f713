import { err, ok, type Result } from "neverthrow";
import { readFileSync } from "node:fs";
import { userInfo } from "node:os";
import { LogFollower } from "../coordination/follower/mod.ts";
import {
  createError,
  createSchemaError,
  type DispatchError,
} from "../state/errors/mod.ts";
import { ClusterView } from "../state/view/mod.ts";
import { HttpLogService } from "../transport/log/mod.ts";
import type { CtlContext } from "./ctl_context.ts";
import type { CtlFlags } from "./ctl_flags.ts";
import { CtlSettings } from "./ctl_settings.ts";

/**
 * Creates the context of a command from the common options and the settings
 * file; an option takes precedence over the file.
 */
export function createCtlContext(
  flags: CtlFlags,
): Result<CtlContext, DispatchError> {
  const file = flags.settings === ""
    ? ok({})
    : readSettingsFile(flags.settings);
  if (file.isErr()) {
    return err(file.error);
  }
  const rawSettings = {
    ...file.value,
    ...(flags.log === "" ? {} : { logAddress: flags.log }),
    ...(flags.operator === "" ? {} : { operator: flags.operator }),
  };
  const parsed = CtlSettings.safeParse(rawSettings);
  const timeoutMs = Number(flags.timeout) * 1_000;
  if (!parsed.success) {
    return err(createSchemaError("invalid_settings", parsed.error));
  }
  if (!(timeoutMs > 0)) {
    const message = "--timeout must be a positive number of seconds";
    return err(createError("invalid_settings", message, { path: "timeout" }));
  }
  const log = new HttpLogService(parsed.data.logAddress);
  return ok({
    log,
    follower: new LogFollower({ view: new ClusterView(), log, zone: "" }),
    operator: parsed.data.operator ?? userInfo().username,
    timeoutMs,
  });
}

function readSettingsFile(path: string): Result<object, DispatchError> {
  try {
    const value = JSON.parse(readFileSync(path, "utf8"));
    return ok(value as object);
  } catch (error) {
    return err(
      createError("invalid_settings", `${path}: ${(error as Error).message}`, {
        path,
      }),
    );
  }
}
