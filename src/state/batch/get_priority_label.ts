/** Priorities from which on metrics make no difference. */
const LAST_LABELLED_PRIORITY = 3;

/** Gets the label value of a priority in metrics, of which there are few. */
export function getPriorityLabel(priority: number): string {
  return priority < LAST_LABELLED_PRIORITY
    ? String(priority)
    : `${LAST_LABELLED_PRIORITY}+`;
}
