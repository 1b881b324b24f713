/** Fault of a link; `reset` and `silence` happen once, the others last. */
export type LinkAction =
  | "refuse"
  | "hold"
  | "hold_forward"
  | "hold_backward"
  | "delay"
  | "reset"
  | "silence";
