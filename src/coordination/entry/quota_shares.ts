import type { ClusterView } from "../../state/view/mod.ts";

/** The part of the customers' and teams' quotas that one entry enforces. */
export class QuotaShares {
  readonly #view: ClusterView;
  #epoch = -1;
  #entries = 1;

  constructor(view: ClusterView) {
    this.#view = view;
  }

  /**
   * Gets this entry's share of a limit: the limit divided by the live entries,
   * rounded up; infinite when the settings state none.
   * @param limit - Name of the limit.
   * @param customer - The customer.
   * @param team - One of its teams, for the team's own limit.
   */
  get(
    limit: "maxRunning" | "maxQueued",
    customer: string,
    team?: string,
  ): number {
    const node = this.#view.settings.customers?.[customer];
    const value = team === undefined
      ? node?.[limit]
      : node?.teams?.[team]?.[limit];
    return value === undefined
      ? Infinity
      : Math.ceil(value / this.#getEntries());
  }

  #getEntries(): number {
    if (this.#epoch !== this.#view.epoch) {
      this.#epoch = this.#view.epoch;
      const live = this.#view.getMembers("entry").filter(({ phase }) =>
        phase === "live"
      );
      this.#entries = Math.max(1, live.length);
    }
    return this.#entries;
  }
}
