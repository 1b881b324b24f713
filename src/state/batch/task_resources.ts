/** Amounts of a worker's resources, such as those that a task uses. */
export interface TaskResources {
  /** Thousandths of a core. */
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly gpus: number;
}
