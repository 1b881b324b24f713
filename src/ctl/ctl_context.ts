import type { LogFollower } from "../coordination/follower/mod.ts";
import type { LogService } from "../coordination/ports/mod.ts";

/** What the commands share. */
export interface CtlContext {
  readonly log: LogService;
  readonly follower: LogFollower;
  readonly operator: string;
  /** Time after which a command gives up on the log, in milliseconds. */
  readonly timeoutMs: number;
}
