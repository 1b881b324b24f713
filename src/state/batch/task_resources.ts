/** Resources of a worker, such as those that a task uses while it runs. */
export interface TaskResources {
  /** Thousandths of a core. */
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly gpus: number;
}
