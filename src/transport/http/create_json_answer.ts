import type { HttpAnswer } from "./http_answer.ts";

/** Creates an answer with a JSON body. */
export function createJsonAnswer(status: number, value: unknown): HttpAnswer {
  const body = new TextEncoder().encode(JSON.stringify(value) + "\n");
  return { status, contentType: "application/json", body };
}
