import * as http from "node:http";
import { readBody } from "./read_body.mjs";

/**
 * Sends one request on a connection of its own, which is reset after
 * `resetAfterMs` if that is given.
 * @returns Status and body, or the error if the connection ends without a
 * complete answer or `timeoutMs` has passed.
 */
export function call(address, options) {
  const { method, path, headers, body, timeoutMs, resetAfterMs } = options;
  const [host, port] = address.split(":");
  const bytes = body === undefined ? undefined : JSON.stringify(body);
  return new Promise((resolve) => {
    const request = http.request({
      host,
      port,
      method,
      path,
      agent: false,
      headers: {
        ...headers,
        ...(bytes === undefined ? {} : {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(bytes),
        }),
      },
    }, (response) => {
      readBody(response).then((answer) => {
        clearTimeout(timer);
        resolve({ status: response.statusCode, text: answer.toString() });
      }, (error) => resolve({ error: error.message }));
    });
    const timer = setTimeout(
      () => request.destroy(new Error("time limit")),
      timeoutMs,
    );
    const resetTimer = resetAfterMs === undefined
      ? undefined
      : setTimeout(() => request.socket?.resetAndDestroy(), resetAfterMs);
    request.on("close", () => clearTimeout(resetTimer));
    request.on("error", (error) => {
      clearTimeout(timer);
      resolve({ error: error.code ?? error.message });
    });
    request.end(bytes);
  });
}
