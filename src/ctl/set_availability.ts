import { createError } from "../state/errors/mod.ts";
import { findNearestName } from "../state/settings/mod.ts";
import { createErrorResult } from "./create_error_result.ts";
import type { CommandResult } from "./command_result.ts";
import type { CtlContext } from "./ctl_context.ts";
import { publishEdits } from "./publish_edits.ts";
import type { PublishFlags } from "./publish_flags.ts";

export interface SetAvailabilityOptions {
  kind: "zone" | "upstream";
  /** State as the operator typed it; "in" and "out" are valid. */
  state: string;
  name: string;
  /** Whether a name that no live member has is accepted. */
  force: boolean;
}

/** Takes an availability zone or an upstream out of service, or back in. */
export async function setAvailability(
  context: CtlContext,
  options: SetAvailabilityOptions,
  flags: PublishFlags,
): Promise<CommandResult> {
  const { kind, state, name, force } = options;
  if (state !== "in" && state !== "out") {
    const message = `"${state}" is neither "in" nor "out"`;
    return createErrorResult(createError("invalid_request", message));
  }
  const { view } = context.follower;
  const liveNames = kind === "zone"
    ? [...view.getMembers("agent"), ...view.getMembers("entry")].map((member) =>
      member.zone
    )
    : view.getMembers("agent").map((member) => member.name);
  const configured = kind === "zone"
    ? view.settings.zones
    : view.settings.upstreams;
  const knownNames = [
    ...new Set([...liveNames, ...Object.keys(configured ?? {})]),
  ];
  if (!knownNames.includes(name) && !force) {
    const nearest = findNearestName(name, knownNames);
    const hint = nearest === undefined ? "" : `; the nearest is "${nearest}"`;
    const message = `no live member has the ${kind} "${name}"${hint}` +
      "; use --force to publish it all the same";
    return createErrorResult(createError("not_found", message));
  }
  const edits = [{ path: `${kind}s.${name}`, value: { state } }];
  return await publishEdits(context, edits, flags);
}
