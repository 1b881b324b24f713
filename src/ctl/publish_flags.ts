import type { CtlFlags } from "./ctl_flags.ts";

/** The options of commands that publish a change. */
export interface PublishFlags extends CtlFlags {
  /**
   * Revision that the change is based on; the latest revision in the log when
   * empty.
   */
  base: string;
  /**
   * Id of a change whose outcome is unknown, to publish it again; generated
   * when empty.
   */
  "change-id": string;
}
