/** What is done to a link for a time, or once. */
export type LinkAction =
  | "refuse"
  | "hold"
  | "hold_forward"
  | "hold_backward"
  | "delay"
  | "reset"
  | "silence";
