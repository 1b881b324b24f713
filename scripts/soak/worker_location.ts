/** Agent and zone of a worker, and the service that it runs. */
export interface WorkerLocation {
  /** Name of the agent beside it. */
  readonly agent: string;
  readonly zone: string;
  readonly service: string;
}
