/** Tells whether a caller no longer waits. An `AbortSignal` is one. */
export interface CallerSignal {
  readonly aborted: boolean;
  /** Adds a function that is called once, unless the signal is aborted already. */
  addEventListener(
    type: "abort",
    listener: () => void,
    options: { once: true },
  ): void;
}
