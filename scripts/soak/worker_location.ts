/** Where a worker is, and what it serves. */
export interface WorkerLocation {
  /** Name of the agent beside it. */
  readonly agent: string;
  readonly zone: string;
  readonly service: string;
}
