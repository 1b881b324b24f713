import type { CtlFlags } from "./ctl_flags.ts";

/** The options of commands that concern submissions. */
export interface SubmitFlags extends CtlFlags {
  /** Idempotency key; generated when empty. */
  key: string;
  customer: string;
  team: string;
  /** Service of a single request. */
  service: string;
  /** Body of a single request. */
  body: string;
  repeatable: boolean;
}
