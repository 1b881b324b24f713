import { type OnReadOpts, Socket, type SocketConstructorOpts } from "node:net";

/** Parts of a socket that the runtime has, but doesn't document. */
interface SocketParts {
  _handle: object | null;
  server?: unknown;
  /** Server that counts the socket among its open connections. */
  _server?: unknown;
}

export interface BufferedSocketOptions {
  /** Buffer into which the socket reads; several sockets may share it. */
  buffer: Buffer;
  /** Whether the socket stays open for writing after its peer has sent all. */
  allowHalfOpen?: boolean;
  /**
   * Called with received bytes, which are overwritten afterwards; returns whether the socket
   * reads on. It emits no `data` events.
   */
  onRead: (bytes: Buffer) => boolean;
}

/**
 * Creates a socket that takes the place of one that a server has just accepted, and reads
 * into a given buffer. The runtime otherwise allocates a buffer for each read, and clients
 * that send much make the process hold tens of megabytes of them until they are collected.
 *
 * @throws When another version of the runtime has other parts.
 */
export function createBufferedSocket(
  accepted: Socket,
  { buffer, allowHalfOpen = false, onRead }: BufferedSocketOptions,
): Socket {
  const parts = accepted as unknown as SocketParts;
  const { _handle: handle, server, _server } = parts;
  if (handle === null || typeof handle !== "object") {
    throw new Error("an accepted socket has no handle in this runtime");
  }
  parts._handle = null;
  const options: SocketConstructorOpts & {
    handle: object;
    onread: OnReadOpts;
  } = {
    handle,
    allowHalfOpen,
    onread: {
      buffer,
      callback: (length) => onRead(buffer.subarray(0, length)),
    },
  };
  const socket = new Socket(options);
  Object.assign(socket, { server, _server });
  return socket;
}
