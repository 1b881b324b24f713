/** Small HTTP helpers for the stand-ins and the clients of the cases. */
import * as http from "node:http";

/** Serves JSON on a free port of 127.0.0.1, and returns the server and its address. */
export function serve(handle) {
  const server = http.createServer(async (request, response) => {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
      await handle(request, response, Buffer.concat(chunks));
    } catch {
      response.destroy();
    }
  });
  return new Promise((resolve) => {
    server.listen(0, "127.0.0.1", () => {
      resolve({ server, address: `127.0.0.1:${server.address().port}` });
    });
  });
}

export function sendJson(response, status, body) {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}

/**
 * Sends a request, on a channel of its own unless an agent of Node.js is given. `done` resolves with the status and the
 * body, or with `error` if the channel breaks; `abort` closes the channel.
 */
export function send(address, { method, path, headers = {}, body, timeoutMs, agent = false }) {
  const [host, port] = address.split(":");
  let request;
  const done = new Promise((resolve) => {
    request = http.request({ host, port, method, path, agent, headers: {
      ...headers,
      "content-length": body === undefined ? 0 : Buffer.byteLength(body),
    } }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", (error) => resolve({ error: error.code ?? error.message }));
      response.on("end", () =>
        resolve({ status: response.statusCode, body: Buffer.concat(chunks).toString() }));
    });
    request.on("error", (error) => resolve({ error: error.code ?? error.message }));
    if (timeoutMs !== undefined) {
      setTimeout(() => request.destroy(new Error("no answer in time")), timeoutMs).unref();
    }
    request.end(body);
  });
  return { done, abort: () => request.destroy() };
}
