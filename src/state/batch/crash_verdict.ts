/**
 * Whether a task under which workers have crashed may be started again:
 * `crashes_workers`, not again, since it caused at least two crashes; `unclear`,
 * not again, though it may have caused none of them.
 */
export type CrashVerdict = "may_start" | "crashes_workers" | "unclear";
