/**
 * A stand-in for the platform's store: keyed topics with offsets and reads that
 * wait for new records. It keeps what it has acknowledged and loses nothing.
 */
import * as http from "node:http";
import { readBody } from "./read_body.mjs";

export class Store {
  #topics = new Map();
  #server = http.createServer((request, response) => {
    void this.#handle(request, response);
  });

  /** Starts listening on a free port, and returns the address. */
  async start() {
    await new Promise((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    return `127.0.0.1:${this.#server.address().port}`;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes a record of the operator; an empty value deletes the key. */
  publish(key, value) {
    this.#append("keyed.op", key, value);
  }

  #getTopic(name) {
    if (!this.#topics.has(name)) {
      this.#topics.set(name, { records: [], waiters: [] });
    }
    return this.#topics.get(name);
  }

  #append(name, key, value) {
    const topic = this.#getTopic(name);
    topic.records.push({ key, value });
    topic.waiters.splice(0).forEach((wake) => wake());
    return topic.records.length - 1;
  }

  async #handle(request, response) {
    const body = await readBody(request);
    const url = new URL(request.url, "http://store");
    const topic = this.#getTopic(url.searchParams.get("topic"));
    const send = (status, value) => {
      const bytes = Buffer.isBuffer(value)
        ? value
        : Buffer.from(JSON.stringify(value));
      response.writeHead(status, { "content-length": bytes.length });
      response.end(bytes);
    };
    switch (url.pathname) {
      case "/cranberrybank/log-newest": {
        const newest = new Map();
        topic.records.forEach(({ key, value }, offset) => {
          newest.delete(key);
          if (value !== "") {
            newest.set(key, { value, offset });
          }
        });
        send(200, {
          items: [...newest].map(([key, { value, offset }]) => ({
            key,
            value: Buffer.from(value).toString("base64"),
            offset,
          })),
          hasMore: false,
          end: topic.records.length,
        });
        return;
      }
      case "/cranberrybank/log-read": {
        const from = Number(url.searchParams.get("from"));
        const waitMs = Number(url.searchParams.get("waitMs") ?? 0);
        if (from >= topic.records.length && waitMs > 0) {
          await new Promise((resolve) => {
            const timer = setTimeout(resolve, waitMs);
            topic.waiters.push(() => {
              clearTimeout(timer);
              resolve();
            });
          });
        }
        const header = Buffer.alloc(16);
        header.writeBigUInt64BE(BigInt(topic.records.length), 0);
        send(
          200,
          Buffer.concat([
            header,
            ...topic.records.slice(from).map(formatRecord),
          ]),
        );
        return;
      }
      case "/cranberrybank/log-append": {
        const name = url.searchParams.get("topic");
        const keyLength = body.readUInt8(4);
        const key = body.toString("utf8", 5, 5 + keyLength);
        const value = body.toString("utf8", 5 + keyLength);
        const offset = this.#append(name, key, value);
        send(200, { offset, end: offset + 1 });
        return;
      }
      default:
        send(404, {});
    }
  }
}

function formatRecord({ key, value }) {
  const keyBytes = Buffer.from(key);
  const valueBytes = Buffer.from(value);
  const header = Buffer.alloc(5);
  header.writeUInt32BE(1 + keyBytes.length + valueBytes.length, 0);
  header.writeUInt8(keyBytes.length, 4);
  return Buffer.concat([header, keyBytes, valueBytes]);
}
