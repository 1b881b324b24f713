/** When a job came to an entry, on its monotonic clock, in milliseconds. */
export interface JobArrival {
  /** When the entry read the request. */
  readonly readAt: number;
  /** When the request may have arrived at the earliest, before a pause. */
  readonly arrivedAt: number;
}
