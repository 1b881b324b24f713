import { expect } from "chai";
import * as http from "node:http";
import { connect } from "node:net";
import {
  createJsonResponse,
  type HttpRequest,
  type HttpRequestHead,
  HttpServer,
} from "../../../src/transport/http/mod.ts";
import { waitUntil } from "../../lib/wait_until.ts";

const MAX_BODY_BYTES = 1_000_000;

describe("HttpServer", () => {
  const received: HttpRequest[] = [];
  const server = new HttpServer({
    host: "127.0.0.1",
    port: 0,
    limits: { maxBodyBytes: MAX_BODY_BYTES },
    handleRequest: (request) => {
      received.push(request);
      return createJsonResponse(200, { size: request.body.length });
    },
  });
  let port: number;

  before(async () => port = await server.start());
  after(() => server.stop());
  beforeEach(() => received.length = 0);

  /**
   * Sends the headers and part of the body of a request that never ends, and
   * returns the response.
   */
  function sendUnfinishedRequest(
    headers: http.OutgoingHttpHeaders,
    bytes: number,
    serverPort = port,
  ): Promise<{ status?: number | undefined; text: string }> {
    return new Promise((resolve, reject) => {
      const request = http.request({
        ...{ port: serverPort, method: "POST", headers },
      });
      request.on("error", reject);
      request.on("response", async (response) => {
        let text = "";
        for await (const chunk of response) {
          text += chunk;
        }
        resolve({ status: response.statusCode, text });
        request.on("error", () => {});
        request.destroy();
      });
      request.write(Buffer.alloc(bytes));
    });
  }

  it("refuses a body by its content length before the body arrives", async () => {
    // Guards against a process that runs out of memory because of one request.
    const headers = { "content-length": 50_000_000_000 };
    const { status, text } = await sendUnfinishedRequest(headers, 10);
    expect(status).to.equal(413);
    expect(text).to.include("body_too_large").and.include("not run");
    expect(received).to.have.length(0);
  });

  it("refuses a body without a content length as soon as it is too large", async () => {
    const { status } = await sendUnfinishedRequest({}, MAX_BODY_BYTES + 1);
    expect(status).to.equal(413);
  });

  it("accepts a body of the largest allowed size, even after a refusal", async () => {
    const body = Buffer.alloc(MAX_BODY_BYTES);
    const url = `http://127.0.0.1:${port}/`;
    const large = await fetch(url, {
      method: "POST",
      body: Buffer.alloc(MAX_BODY_BYTES + 1),
    });
    expect(large.status).to.equal(413);
    const fits = await fetch(url, { method: "POST", body });
    expect(await fits.json()).to.deep.equal({ size: MAX_BODY_BYTES });
  });

  it("refuses a request by its head before the body arrives", async () => {
    // Guards against work for the body of a request that can't be served anyway.
    const heads: HttpRequestHead[] = [];
    const refusing = new HttpServer({
      host: "127.0.0.1",
      port: 0,
      checkHead: (head) => {
        heads.push(head);
        return createJsonResponse(503, {});
      },
      handleRequest: () => createJsonResponse(200, {}),
    });
    const port = await refusing.start();
    const headers = { "content-length": 1_000, "x-kind": "a" };
    const { status } = await sendUnfinishedRequest(headers, 10, port);
    expect(status).to.equal(503);
    const [head] = heads;
    expect(head).to.include({
      ...{ method: "POST", rawPath: "/", remoteAddress: "127.0.0.1" },
    });
    expect(head?.headers["x-kind"]).to.equal("a");
    await refusing.stop();
  });

  it("refuses a path that isn't validly encoded", async () => {
    // Guards against the error "internal", whose outcome is "unknown", for a
    // request that never ran.
    const response = await fetch(`http://127.0.0.1:${port}/v1/jobs/%E0%A4`);
    expect(response.status).to.equal(400);
    expect(response.headers.get("x-error-kind")).to.equal("invalid_request");
  });

  it("aborts the signal of each request that a client sent before it disconnected", async () => {
    // Guards against a job that runs on for a client that has gone.
    const signals: HttpRequest["signal"][] = [];
    const waiting = new HttpServer({
      host: "127.0.0.1",
      port: 0,
      handleRequest: ({ signal }) => {
        signals.push(signal);
        return new Promise(() => {});
      },
    });
    const socket = connect(await waiting.start(), "127.0.0.1");
    const request = "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n";
    socket.write(request + request);
    await waitUntil(() => signals.length === 2, "both requests have arrived");
    socket.resetAndDestroy();
    await waitUntil(
      () => signals.every(({ aborted }) => aborted),
      "both signals are aborted",
    );
    await waiting.stop();
  });
});
