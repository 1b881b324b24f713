/** A stand-in for the platform's store: keyed topics of one partition (PROTOCOL.md). */
import { sendJson, serve } from "./http.mjs";

export class Store {
  #topics = new Map();

  /** @param mapAddress - Gets the address under which others reach an agent. */
  constructor(mapAddress) {
    this.mapAddress = mapAddress;
  }

  async start() {
    const { server, address } = await serve((...args) => this.#handle(...args));
    this.server = server;
    this.address = address;
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Appends a record of the operator; an empty value drops the key. */
  publish(key, value) {
    this.#append("keyed.op", key, value);
  }

  #topic(name) {
    if (!this.#topics.has(name)) this.#topics.set(name, { records: [], waiters: [] });
    return this.#topics.get(name);
  }

  #append(name, key, value) {
    const topic = this.#topic(name);
    topic.records.push({ key, value });
    topic.waiters.splice(0).forEach((wake) => wake());
    return topic.records.length - 1;
  }

  async #handle(request, response, body) {
    const url = new URL(request.url, "http://store");
    const name = url.searchParams.get("topic") ?? "";
    const call = url.pathname.split("/").at(-1);
    if (call === "log-append") {
      const keyLength = body[4];
      const key = body.toString("utf8", 5, 5 + keyLength);
      let value = body.toString("utf8", 5 + keyLength);
      if (name === "keyed.agents" && value !== "") value = this.mapAddress(key, value);
      const offset = this.#append(name, key, value);
      return sendJson(response, 200, { offset, end: offset + 1 });
    }
    const topic = this.#topic(name);
    if (call === "log-newest") {
      const newest = new Map();
      topic.records.forEach(({ key, value }, offset) => {
        newest.delete(key);
        if (value !== "") newest.set(key, { value, offset });
      });
      const items = [...newest].map(([key, { value, offset }]) =>
        ({ key, value: Buffer.from(value).toString("base64"), offset }));
      return sendJson(response, 200, { items, hasMore: false, end: topic.records.length });
    }
    if (call === "log-read") {
      const from = Number(url.searchParams.get("from"));
      const waitMs = Number(url.searchParams.get("waitMs") ?? 0);
      if (from >= topic.records.length && waitMs > 0) {
        await new Promise((resolve) => {
          const timer = setTimeout(resolve, waitMs);
          topic.waiters.push(() => (clearTimeout(timer), resolve()));
        });
      }
      const header = Buffer.alloc(16);
      header.writeBigUInt64BE(BigInt(topic.records.length), 0);
      response.writeHead(200, { "content-type": "application/octet-stream" });
      response.end(Buffer.concat([header, ...topic.records.slice(from).map(format)]));
      return;
    }
    sendJson(response, 404, {});
  }
}

function format({ key, value }) {
  const keyBytes = Buffer.from(key);
  const content = Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, Buffer.from(value)]);
  const length = Buffer.alloc(4);
  length.writeUInt32BE(content.length);
  return Buffer.concat([length, content]);
}
