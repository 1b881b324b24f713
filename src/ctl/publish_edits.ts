import { randomUUID } from "node:crypto";
import { parseLogRecord } from "../coordination/follower/mod.ts";
import { createError } from "../state/errors/mod.ts";
import { isNestedWithin } from "../state/json/mod.ts";
import { checkSettings } from "../state/settings/mod.ts";
import {
  applyEdits,
  type ChangeOutcome,
  type ChangeRecord,
  LogRecord,
} from "../state/view/mod.ts";
import { ChangePublisher } from "./change_publisher.ts";
import { createErrorResult } from "./create_error_result.ts";
import type { CommandResult } from "./command_result.ts";
import type { CtlContext } from "./ctl_context.ts";
import type { PublishFlags } from "./publish_flags.ts";
import { waitForConfirmations } from "./wait_for_confirmations.ts";

/**
 * Publishes edits as one change, and waits until the change is in force.
 * @param context - Context of the command.
 * @param edits - Edits of the settings.
 * @param flags - Options of the command: base revision and change id, if given.
 */
export async function publishEdits(
  context: CtlContext,
  edits: ChangeRecord["edits"],
  flags: PublishFlags,
): Promise<CommandResult> {
  const { view } = context.follower;
  const id = flags["change-id"] === "" ? randomUUID() : flags["change-id"];
  if (!isNestedWithin(edits)) {
    const message = "a value is nested too deeply";
    return createErrorResult(createError("invalid_settings", message));
  }
  const parsed = LogRecord.safeParse({
    type: "change",
    id,
    baseRevision: flags.base === "" ? view.revision : Number(flags.base),
    operator: context.operator,
    edits,
  });
  if (!parsed.success || parsed.data.type !== "change") {
    const issue = parsed.error?.issues[0];
    const message = `${issue?.path.join(".")}: ${issue?.message}`;
    return createErrorResult(createError("invalid_settings", message));
  }
  const checkedSettings = checkSettings(applyEdits(view.settings, edits));
  const isKnown = view.getChangeOutcome(id) !== undefined;
  if (checkedSettings.isErr() && !isKnown) {
    return createErrorResult(checkedSettings.error);
  }
  const outcome = await new ChangePublisher(context).publish(parsed.data);
  return outcome.isErr()
    ? createErrorResult(outcome.error, { changeId: id })
    : await createOutcomeResult(context, parsed.data, outcome.value);
}

async function createOutcomeResult(
  context: CtlContext,
  change: ChangeRecord,
  outcome: ChangeOutcome,
): Promise<CommandResult> {
  const changeId = change.id;
  if (outcome.type === "rejected") {
    const { winner, error } = outcome;
    const winnerOperator = winner === undefined
      ? undefined
      : await findOperator(context, winner);
    const message = winnerOperator === undefined
      ? error.message
      : `${error.message} (by ${winnerOperator})`;
    const details = { changeId, winner, winnerOperator };
    return createErrorResult({ ...error, message }, details);
  }
  const { revision } = outcome;
  const unconfirmed = await waitForConfirmations(context, {
    offset: revision,
  });
  const value = { status: "in force", revision, changeId, unconfirmed };
  if (unconfirmed.length === 0) {
    const text = `revision ${revision} is accepted and in force`;
    return { exitCode: 0, text, value };
  }
  const text = `revision ${revision} is accepted and in force by the view age` +
    ` limit; not confirmed by:\n  ${unconfirmed.join("\n  ")}`;
  return { exitCode: 7, text, value };
}

/**
 * Finds the operator who published a revision; undefined if its record is no
 * longer retained or can't be read.
 */
async function findOperator(
  context: CtlContext,
  revision: number,
): Promise<string | undefined> {
  const page = await context.log.read(revision, 1);
  const raw = page.isOk() ? page.value.records[0] : undefined;
  if (raw?.offset !== revision) {
    return undefined;
  }
  const record = parseLogRecord(raw.json);
  return record?.type === "change" ? record.operator : undefined;
}
