/** What a task takes of a worker while it runs. */
export interface TaskResources {
  /** Thousandths of a core. */
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly gpus: number;
}
