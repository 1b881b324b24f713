import type { LogFollower } from "../coordination/follower/mod.ts";
import type { LogService } from "../coordination/ports/mod.ts";

/** Context that every command runs in. */
export interface CtlContext {
  readonly log: LogService;
  readonly follower: LogFollower;
  readonly operator: string;
  /**
   * Time after which a command stops retrying requests to the log, in
   * milliseconds.
   */
  readonly timeoutMs: number;
}
