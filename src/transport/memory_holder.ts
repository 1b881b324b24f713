/** What one client makes a process hold, as the memory budget knows it. */
export interface MemoryHolder {
  /** Held bytes; only the budget changes them. */
  heldBytes: number;
  /** Gives up what is held. Called at most once, by the budget. */
  evict(): void;
}
