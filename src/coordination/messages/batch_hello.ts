/** The first frame on a stream, in both directions. */
export interface BatchHello {
  name: string;
  /** Identifies one start of the process. */
  incarnation: string;
  /**
   * Number of the stream, which rises with each one that the entry opens; 0 in
   * the agent's hello.
   */
  stream: number;
  /** Time since an agent started to keep claims, in milliseconds; 0 in the entry's hello. */
  uptimeMs: number;
}
