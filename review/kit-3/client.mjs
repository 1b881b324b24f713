/** Calls of clients, one connection each. */
import http from "node:http";
import { randomBytes } from "node:crypto";

export function createJobId() {
  return randomBytes(8).toString("hex");
}

/** Creates a channel that stays open between requests. */
export function createChannel() {
  return new http.Agent({ keepAlive: true, maxSockets: 1 });
}

/**
 * Sends one request, on a connection of its own unless a channel is given.
 * @returns Status, body and time of the answer; status 0 if there is none.
 */
export function call(address, { method, path, host, body, deadlineMs, timeoutMs = 10_000, channel = false }) {
  return new Promise((resolve) => {
    const text = body === undefined ? "" : JSON.stringify(body);
    const fail = () => resolve({ status: 0, body: "", at: performance.now() });
    const request = http.request(`http://${address}${path}`, {
      method,
      agent: channel,
      headers: {
        ...(host === undefined ? {} : { host }),
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
        ...(deadlineMs === undefined ? {} : { "x-cranberrybank-deadline-ms": String(deadlineMs) }),
      },
    }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", fail);
      response.on("end", () =>
        resolve({
          status: response.statusCode,
          body: Buffer.concat(chunks).toString(),
          at: performance.now(),
        }));
    });
    const timer = setTimeout(() => request.destroy(), timeoutMs);
    request.on("close", () => clearTimeout(timer));
    request.on("error", fail);
    request.end(text);
  });
}
