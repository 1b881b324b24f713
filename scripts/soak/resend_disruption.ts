/**
 * What happens to the first entry of jobs that are sent again, or to the agents
 * that run them.
 */
export type ResendDisruption =
  | "pause_entry"
  | "kill_entry"
  | "pause_agents"
  | "kill_agents"
  | "hold_forward"
  | "hold_backward";
