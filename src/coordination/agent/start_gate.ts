import { createError, type DispatchError } from "../../state/errors/mod.ts";
import type { LogFollower } from "../follower/mod.ts";

export interface StartGateOptions {
  follower: LogFollower;
  /** Member id of this agent. */
  memberId: string;
}

/**
 * Decides whether a task may start now. Apart from draining, it checks only
 * state that comes from the log, and the view's age bounds how old that state
 * can be. A process that was paused or is partitioned therefore refuses to
 * start tasks instead of acting on stale state. The check must run in the same
 * event-loop tick that writes the request to the upstream.
 */
export class StartGate {
  readonly #follower: LogFollower;
  readonly #memberId: string;
  #isDraining = false;

  constructor(options: StartGateOptions) {
    this.#follower = options.follower;
    this.#memberId = options.memberId;
  }

  /** Indicates whether the agent is stopping. */
  get isDraining(): boolean {
    return this.#isDraining;
  }

  /** Refuses all further starts, for a planned stop. */
  startDraining(): void {
    this.#isDraining = true;
  }

  /**
   * Gets the reason why no task of any coordinator may start at this agent now.
   * Returns undefined if tasks may start.
   */
  getRefusal(): DispatchError | undefined {
    const view = this.#follower.view;
    if (this.#isDraining) {
      return createError("draining", "the agent is stopping");
    }
    if (!this.#follower.canStartWork()) {
      return createError(
        "view_stale",
        "the agent's view of the log is too old",
      );
    }
    const self = view.getMember(this.#memberId);
    if (self === undefined || self.phase !== "live") {
      return createError("upstream_out", "the agent isn't a live member");
    }
    if (!view.isZoneInService(self.zone)) {
      return createError(
        "zone_out",
        `availability zone ${self.zone} is out of service`,
      );
    }
    if (!view.isUpstreamInService(self.name)) {
      return createError(
        "upstream_out",
        `upstream ${self.name} is out of service`,
      );
    }
    return undefined;
  }

  /**
   * Gets the reason why a task of the given coordinator may not start now.
   * Returns undefined if it may start.
   * @param coordinatorId - Member id of the entry that sent the task.
   */
  getRefusalFor(coordinatorId: string): DispatchError | undefined {
    const refusal = this.getRefusal();
    if (refusal !== undefined) {
      return refusal;
    }
    return this.#follower.view.getMember(coordinatorId) === undefined
      ? createError(
        "coordinator_removed",
        `entry ${coordinatorId} isn't a member`,
      )
      : undefined;
  }
}
