interface Holder {
  /** Credits that the entry holds and hasn't used. */
  unused: number;
  /** Tasks of the entry that run here on a credit. */
  running: number;
  /** Tasks that wait at the entry, as last reported. */
  queued: number;
  readonly grant: (count: number) => void;
}

/**
 * The credits of one agent. A credit is a free slot promised to one entry. Together, unused credits and
 * running tasks never exceed the slots, so a task that is sent on a credit finds its slot free.
 */
export class CreditLedger {
  readonly #holders = new Map<string, Holder>();
  #slots: number;
  #isOpen = false;

  /** @param slots - Tasks that run at one time. */
  constructor(slots: number) {
    this.#slots = slots;
  }

  /** Sets the number of slots. */
  setSlots(slots: number): void {
    this.#slots = slots;
    this.#grantFree();
  }

  /** Starts or stops granting credits. Credits that are held already stay with their entries. */
  setOpen(isOpen: boolean): void {
    this.#isOpen = isOpen;
    this.#grantFree();
  }

  /**
   * Adds an entry.
   * @param entryId - Member id of the entry.
   * @param grant - Sends credits to the entry.
   */
  addEntry(entryId: string, grant: (count: number) => void): void {
    this.#holders.set(entryId, { unused: 0, running: 0, queued: 0, grant });
    this.#grantFree();
  }

  /** Removes an entry whose stream has closed; its unused credits are free again. */
  removeEntry(entryId: string): void {
    this.#holders.delete(entryId);
    this.#grantFree();
  }

  /** Records the number of tasks that wait at an entry. */
  setQueued(entryId: string, queued: number): void {
    const holder = this.#holders.get(entryId);
    if (holder !== undefined) {
      holder.queued = queued;
      this.#grantFree();
    }
  }

  /** Records that an entry has used a credit. */
  useCredit(entryId: string): void {
    const holder = this.#holders.get(entryId);
    if (holder !== undefined) {
      holder.unused = Math.max(0, holder.unused - 1);
      holder.running++;
    }
  }

  /**
   * Records that a task has ended, and gets the number of credits to send with its result.
   * @param entryId - Entry that sent the task.
   */
  finishTask(entryId: string): number {
    const holder = this.#holders.get(entryId);
    if (holder === undefined) {
      this.#grantFree();
      return 0;
    }
    holder.running = Math.max(0, holder.running - 1);
    if (!this.#isOpen || this.#getFree() <= 0) {
      return 0;
    }
    holder.unused++;
    return 1;
  }

  #getFree(): number {
    let used = 0;
    for (const holder of this.#holders.values()) {
      used += holder.unused + holder.running;
    }
    return this.#slots - used;
  }

  #grantFree(): void {
    if (!this.#isOpen) {
      return;
    }
    const grants = new Map<Holder, number>();
    for (let free = this.#getFree(); free > 0; free--) {
      const neediest = this.#findNeediest();
      if (neediest === undefined) {
        return;
      }
      neediest.unused++;
      grants.set(neediest, (grants.get(neediest) ?? 0) + 1);
    }
    for (const [holder, count] of grants) {
      holder.grant(count);
    }
  }

  #findNeediest(): Holder | undefined {
    let neediest: Holder | undefined;
    for (const holder of this.#holders.values()) {
      if (neediest === undefined || getNeed(holder) > getNeed(neediest)) {
        neediest = holder;
      }
    }
    return neediest;
  }
}

function getNeed(holder: Holder): number {
  return holder.queued - holder.unused;
}
