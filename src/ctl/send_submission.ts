import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import {
  createError,
  type DispatchError,
  isErrorKind,
} from "../state/errors/mod.ts";
import { createErrorResult } from "./create_error_result.ts";
import type { CommandResult } from "./command_result.ts";
import type { CtlContext } from "./ctl_context.ts";
import { getExitCode } from "./get_exit_code.ts";
import type { ProcessResponse } from "./process_response.ts";
import { sendRequest, type SendRequestOptions } from "./send_request.ts";
import type { SubmitFlags } from "./submit_flags.ts";

/**
 * Time limit of an entry's answer, in milliseconds: the longest deadline that
 * the settings allow.
 */
const ANSWER_TIMEOUT_MS = 3_600_000;

/**
 * Submits a job from a file, or a single request, and waits for its answer.
 * When an entry doesn't answer or isn't ready, the submission is sent to the
 * next one with the same idempotency key, which makes the repetition safe.
 * @param context - Context of the command.
 * @param file - Path of the job file; undefined for a single request.
 * @param flags - Options of the command.
 */
export async function sendSubmission(
  context: CtlContext,
  file: string | undefined,
  flags: SubmitFlags,
): Promise<CommandResult> {
  const key = flags.key === "" ? randomUUID() : flags.key;
  const request = createRequest(file, flags, key);
  if (request.isErr()) {
    return createErrorResult(request.error);
  }
  const { path, options } = request.value;
  const entries = context.follower.view.getMembers("entry")
    .filter(({ phase }) => phase === "live")
    .sort(() => Math.random() - 0.5);
  let error: DispatchError = createError(
    "not_ready",
    "the log names no live entry",
  );
  for (const { httpAddress } of entries) {
    const reply = await sendRequest(httpAddress, path, options);
    if (reply.isOk()) {
      const result = createResult(key, reply.value);
      if (result.exitCode === 0 || !isNotReadyError(result)) {
        return result;
      }
    } else {
      error = reply.error;
    }
  }
  return createErrorResult(error, { key });
}

function createRequest(
  file: string | undefined,
  flags: SubmitFlags,
  key: string,
): Result<{ path: string; options: SendRequestOptions }, DispatchError> {
  const headers: Record<string, string> = {
    "idempotency-key": key,
    "x-customer": flags.customer,
    ...(flags.team === "" ? {} : { "x-team": flags.team }),
    ...(flags.repeatable ? { "x-repeatable": "true" } : {}),
  };
  const base = { method: "POST", headers, timeoutMs: ANSWER_TIMEOUT_MS };
  if (file !== undefined) {
    try {
      const body = readFileSync(file);
      return ok({ path: "/v1/jobs", options: { ...base, body } });
    } catch (error) {
      return err(createError("invalid_request", (error as Error).message));
    }
  }
  if (flags.service === "") {
    const message = "give a job file, or --service and --body";
    return err(createError("invalid_request", message));
  }
  return ok({
    path: `/v1/requests/${encodeURIComponent(flags.service)}`,
    options: { ...base, body: Buffer.from(flags.body) },
  });
}

function createResult(key: string, reply: ProcessResponse): CommandResult {
  const text = reply.body.toString("utf8").trimEnd();
  const answer = parseObject(text);
  if (reply.status < 400 || answer?.["status"] !== "failed") {
    const value = answer?.["status"] === "complete"
      ? answer
      : { status: "complete", key, httpStatus: reply.status, body: text };
    return { exitCode: 0, text, value: { ...value, key } };
  }
  const error = answer["error"] as DispatchError | undefined;
  const kind = error !== undefined && isErrorKind(error.kind)
    ? error.kind
    : "internal";
  return { exitCode: getExitCode(kind), text, value: { ...answer, key } };
}

function isNotReadyError(result: CommandResult): boolean {
  const error = result.value["error"] as DispatchError | undefined;
  return error?.kind === "not_ready" || error?.kind === "draining";
}

function parseObject(text: string): Record<string, unknown> | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === "object" && value !== null
      ? value as Record<string, unknown>
      : undefined;
  } catch {
    return undefined;
  }
}
