/**
 * Fault of a link. `reset` resets the open connections, and `silence` discards
 * all further bytes on them; the others last for the duration of the fault.
 */
export type LinkAction =
  | "refuse"
  | "hold"
  | "hold_forward"
  | "hold_backward"
  | "delay"
  | "reset"
  | "silence";
