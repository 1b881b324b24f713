/**
 * Difference of the run times before two crashes up to which they count as the
 * same point of the task's work, in milliseconds. Agents notice a crash within a
 * few milliseconds.
 */
export const SAME_POINT_TOLERANCE_MS = 15;
