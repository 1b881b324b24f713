/**
 * A stand-in for the platform's store: keyed topics with offsets, appends, reads that wait
 * for new records, and the newest record of each key.
 */
import http from "node:http";

export class Store {
  #topics = new Map();
  #servers = [];
  /** While true, each call is answered with 503. */
  isUnavailable = false;

  /**
   * Listens at one more address.
   * @param mapValue - Maps the values that are read there, by their keys. Stands for the
   * network of one machine: it replaces the addresses of others by those of its links.
   */
  async listen(mapValue = (_, value) => value) {
    const server = http.createServer((request, response) =>
      this.#accept(request, response, mapValue)
    );
    server.keepAliveTimeout = 75_000;
    this.#servers.push(server);
    await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
    return `127.0.0.1:${server.address().port}`;
  }

  stop() {
    this.#servers.forEach((server) => {
      server.close();
      server.closeAllConnections();
    });
  }

  /** Appends a record as the operator does; an empty value deletes the key. */
  publish(key, value) {
    this.#append("keyed.op", { key, value: Buffer.from(value) });
  }

  #accept(request, response, mapValue) {
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("end", () => this.#answer(request, Buffer.concat(chunks), response, mapValue));
    request.on("error", () => {});
  }

  #answer(request, body, response, mapValue) {
    if (this.isUnavailable) {
      sendJson(response, 503, {});
      return;
    }
    const { pathname, searchParams } = new URL(request.url, "http://store");
    const topic = this.#getTopic(searchParams.get("topic") ?? "");
    switch (`${request.method} ${pathname}`) {
      case "GET /cranberrybank/log-newest":
        this.#answerNewest(topic, response, mapValue);
        return;
      case "GET /cranberrybank/log-read":
        this.#answerRead(topic, searchParams, response, mapValue);
        return;
      case "POST /cranberrybank/log-append": {
        const offset = this.#append(searchParams.get("topic"), parseRecord(body));
        sendJson(response, 200, { offset, end: offset + 1 });
        return;
      }
      default:
        sendJson(response, 404, {});
    }
  }

  #answerNewest({ records }, response, mapValue) {
    const newest = new Map();
    records.forEach(({ key, value }, offset) => {
      newest.delete(key);
      if (value.length > 0) {
        newest.set(key, { key, value: mapValue(key, value).toString("base64"), offset });
      }
    });
    sendJson(response, 200, { items: [...newest.values()], hasMore: false, end: records.length });
  }

  #answerRead(topic, searchParams, response, mapValue) {
    const from = Number(searchParams.get("from"));
    const waitMs = Math.min(30_000, Number(searchParams.get("waitMs") ?? 0));
    let isSent = false;
    const send = () => {
      if (isSent) {
        return;
      }
      isSent = true;
      clearTimeout(timer);
      topic.waiters.delete(send);
      const header = Buffer.alloc(16);
      header.writeBigUInt64BE(BigInt(topic.records.length), 0);
      const parts = topic.records.slice(from)
        .map(({ key, value }) => formatRecord({ key, value: mapValue(key, value) }));
      response.writeHead(200, { "content-type": "application/octet-stream" });
      response.end(Buffer.concat([header, ...parts]));
    };
    const timer = setTimeout(send, waitMs);
    if (from < topic.records.length) {
      send();
    } else {
      topic.waiters.add(send);
    }
  }

  #append(name, record) {
    const topic = this.#getTopic(name);
    topic.records.push(record);
    [...topic.waiters].forEach((wake) => wake());
    return topic.records.length - 1;
  }

  #getTopic(name) {
    if (!this.#topics.has(name)) {
      this.#topics.set(name, { records: [], waiters: new Set() });
    }
    return this.#topics.get(name);
  }
}

function sendJson(response, status, body) {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}

function parseRecord(body) {
  const keyEnd = 5 + body.readUInt8(4);
  return { key: body.toString("utf8", 5, keyEnd), value: body.subarray(keyEnd) };
}

function formatRecord({ key, value }) {
  const keyBytes = Buffer.from(key);
  const header = Buffer.alloc(5);
  header.writeUInt32BE(1 + keyBytes.length + value.length, 0);
  header.writeUInt8(keyBytes.length, 4);
  return Buffer.concat([header, keyBytes, value]);
}
