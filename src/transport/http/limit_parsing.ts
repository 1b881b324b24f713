import type { Socket } from "node:net";

/** Bytes that are parsed at once; most requests are shorter. */
const SLICE_BYTES = 2_048;

type DataListener = (this: Socket, bytes: Buffer) => void;

export interface LimitParsingOptions {
  canParse: () => boolean;
  /** Called with the number of bytes before they are parsed. */
  onParse: (bytes: number) => void;
  /** Called after bytes were parsed. */
  onParsed: () => void;
}

/**
 * Lets the HTTP server of a socket parse received bytes in small parts, and no more of them
 * once `canParse` returns false. The server would parse up to 64 KiB at once, and a client
 * that sends thousands of requests ahead makes it create the objects of all of them.
 *
 * @returns Whether the runtime reads in the expected way; otherwise nothing is limited.
 */
export function limitParsing(
  socket: Socket,
  { canParse, onParse, onParsed }: LimitParsingOptions,
): boolean {
  const listeners = socket.listeners("data") as DataListener[];
  const [parse] = listeners;
  if (parse === undefined || listeners.length > 1) {
    // Another version of the runtime reads in another way.
    return false;
  }
  const parseSlice = (bytes: Buffer) => {
    onParse(bytes.length);
    parse.call(socket, bytes);
  };
  let rest: Buffer | undefined;
  const parseRest = () => {
    // The server pauses the socket while the client doesn't read its responses.
    while (rest !== undefined && !socket.isPaused()) {
      if (socket.destroyed || !canParse()) {
        rest = undefined;
        // What is read further would only be discarded.
        socket.pause();
        return;
      }
      const bytes = rest;
      if (bytes.length <= SLICE_BYTES) {
        rest = undefined;
        parseSlice(bytes);
      } else {
        rest = bytes.subarray(SLICE_BYTES);
        parseSlice(bytes.subarray(0, SLICE_BYTES));
      }
    }
    onParsed();
  };
  socket.removeListener("data", parse);
  socket.on("data", (bytes: Buffer) => {
    rest = rest === undefined ? bytes : Buffer.concat([rest, bytes]);
    parseRest();
  });
  socket.on("resume", parseRest);
  return true;
}
