import type { CtlFlags } from "./ctl_flags.ts";

/** The options of commands that publish a change. */
export interface PublishFlags extends CtlFlags {
  /** Revision that the operator saw; the one just read when empty. */
  base: string;
  /** Id of a change whose outcome is unknown. */
  "change-id": string;
}
