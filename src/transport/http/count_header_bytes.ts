import type { IncomingMessage } from "node:http";

/** Counts the bytes of a request's target and headers. */
export function countHeaderBytes({ rawHeaders, url }: IncomingMessage): number {
  let bytes = url?.length ?? 0;
  for (const text of rawHeaders) {
    // Each name and value is followed by two separating bytes.
    bytes += text.length + 2;
  }
  return bytes;
}
