import type { FairQueueState } from "./fair_queue_state.ts";
import { TeamQueue } from "./team_queue.ts";

/** The waiting tasks of one customer, by team. */
export class CustomerQueue implements FairQueueState {
  virtualTime = 0;
  waiting = 0;
  running = 0;
  /** Virtual time of the team that was served last. */
  lastServedVirtualTime = 0;
  readonly teams = new Map<string, TeamQueue>();

  /** Gets the queue of a team, and creates it when there is none. */
  getTeam(name: string): TeamQueue {
    let team = this.teams.get(name);
    if (team === undefined) {
      team = new TeamQueue();
      this.teams.set(name, team);
    }
    return team;
  }
}
