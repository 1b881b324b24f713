/** The quotas of a customer, or of one of its teams, after inheritance. */
export interface Quotas {
  readonly weight: number;
  /** Tasks that may run at one time; undefined for no limit. */
  readonly maxRunning?: number;
  /** Tasks that may wait in one entry's queue; undefined for no limit. */
  readonly maxQueued?: number;
}
