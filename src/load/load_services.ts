/** A service that jobs of a load run use. */
interface LoadService {
  readonly name: string;
  /** Share of the jobs that use the service. */
  readonly share: number;
  /** Range of the run times, log-uniform, in milliseconds. */
  readonly runMs: readonly [number, number];
  /** Share of the tasks whose run time is in `longMs` instead. */
  readonly longShare: number;
  /** Range of the long run times, log-uniform, in milliseconds. */
  readonly longMs: readonly [number, number];
}

/**
 * The services of a load run. Most tasks take 50 ms to 1 s, a few take several
 * seconds.
 */
export const LOAD_SERVICES: readonly LoadService[] = [
  createService("stamp", 0.4, { runMs: [50, 150], longShare: 0 }),
  createService("preview", 0.4, { runMs: [80, 500], longShare: 0.01 }),
  createService("raster", 0.2, { runMs: [300, 1_000], longShare: 0.08 }),
];

function createService(
  name: string,
  share: number,
  options: Pick<LoadService, "runMs" | "longShare">,
): LoadService {
  return { name, share, longMs: [1_000, 4_000], ...options };
}
