import type { ClusterView } from "../../state/view/mod.ts";

/** One entry's shares of the quotas of customers and teams. */
export class QuotaShares {
  readonly #view: ClusterView;
  #epoch = -1;
  #liveEntryCount = 1;

  constructor(view: ClusterView) {
    this.#view = view;
  }

  /**
   * Gets this entry's share of a limit: the limit divided by the number of live
   * entries, rounded up. Returns `Infinity` when the settings have no such
   * limit.
   * @param limit - Name of the limit.
   * @param customer - The customer.
   * @param team - One of its teams, to get the team's own limit.
   */
  get(
    limit: "maxRunning" | "maxQueued",
    customer: string,
    team?: string,
  ): number {
    const customerSettings = this.#view.settings.customers?.[customer];
    const value = team === undefined
      ? customerSettings?.[limit]
      : customerSettings?.teams?.[team]?.[limit];
    return value === undefined
      ? Infinity
      : Math.ceil(value / this.#getLiveEntryCount());
  }

  #getLiveEntryCount(): number {
    if (this.#epoch !== this.#view.epoch) {
      this.#epoch = this.#view.epoch;
      const live = this.#view.getMembers("entry").filter(({ phase }) =>
        phase === "live"
      );
      this.#liveEntryCount = Math.max(1, live.length);
    }
    return this.#liveEntryCount;
  }
}
