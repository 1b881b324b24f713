/** The whole reply of a process. */
export interface ProcessReply {
  readonly status: number;
  readonly body: Buffer;
}
