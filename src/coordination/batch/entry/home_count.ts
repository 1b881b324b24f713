/**
 * Number of homes of a job that know of all earlier claims. Two entries of which each
 * can't reach another agent still have a home in common.
 */
export const HOME_COUNT = 2;
