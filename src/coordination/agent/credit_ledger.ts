import type { CreditAccount } from "./credit_account.ts";

export interface CreditAccountOptions {
  /** Sends credits to the entry. */
  sendGrant: (count: number) => void;
  /** Asks the entry for unused credits. */
  sendRevoke: (count: number) => void;
}

/**
 * The credits of one agent. A credit is a free slot promised to one entry.
 * Unused credits and running tasks never exceed the slots together, so a task
 * that is sent on a credit finds its slot free. Only a smaller number of slots
 * leaves more out for a moment, until the excess is revoked.
 *
 * Credits follow the demand. A free slot goes to the entry that queues and
 * holds the least, which is max-min fair; when nobody queues, free slots are
 * spread evenly, so that a task can start at once. Idle credits are asked back
 * when another entry queues.
 */
export class CreditLedger {
  readonly #accounts = new Map<string, CreditAccount>();
  /** Running tasks by entry. They outlive the stream that brought them. */
  readonly #running = new Map<string, number>();
  #runningTotal = 0;
  #slots: number;
  #isOpen = false;

  /** @param slots - Tasks that run at one time. */
  constructor(slots: number) {
    this.#slots = slots;
  }

  /**
   * Gets the number of slots that are neither promised nor in use; negative
   * after the slots shrank.
   */
  get freeSlots(): number {
    let used = this.#runningTotal;
    for (const account of this.#accounts.values()) {
      used += account.unused;
    }
    return this.#slots - used;
  }

  /** Gets the number of running tasks. */
  get running(): number {
    return this.#runningTotal;
  }

  /** Sets the number of slots. */
  setSlots(slots: number): void {
    if (slots !== this.#slots) {
      this.#slots = slots;
      this.#balance();
    }
  }

  /**
   * Starts or stops granting credits. Stopping asks all unused credits back.
   */
  setGranting(isOpen: boolean): void {
    if (isOpen !== this.#isOpen) {
      this.#isOpen = isOpen;
      this.#balance();
    }
  }

  /**
   * Adds an entry's stream. An older stream of the same entry is replaced, and
   * its unused credits end.
   * @param entryId - Member id of the entry.
   * @param options - Reach the entry.
   */
  addEntry(entryId: string, options: CreditAccountOptions): CreditAccount {
    const older = this.#accounts.get(entryId);
    if (older !== undefined) {
      older.isActive = false;
    }
    const account: CreditAccount = {
      ...options,
      entryId,
      unused: 0,
      revoking: 0,
      queued: 0,
      isSuspended: false,
      isActive: true,
      grants: [],
    };
    this.#accounts.set(entryId, account);
    this.#balance();
    return account;
  }

  /** Removes a stream that has ended; its unused credits are free again. */
  removeEntry(account: CreditAccount): void {
    account.isActive = false;
    if (this.#accounts.get(account.entryId) === account) {
      this.#accounts.delete(account.entryId);
      this.#balance();
    }
  }

  /**
   * Takes the unused credits of a silent entry back without its consent: a
   * paused entry would keep slots idle until it is removed. A task that it
   * sends on such a credit later gets a slot only when one is free.
   */
  suspend(account: CreditAccount): void {
    if (account.isActive && !account.isSuspended) {
      account.isSuspended = true;
      account.unused = 0;
      account.revoking = 0;
      account.queued = 0;
      this.#balance();
    }
  }

  /** Grants credits to an entry again that was silent. */
  resume(account: CreditAccount): void {
    if (account.isSuspended) {
      account.isSuspended = false;
      this.#balance();
    }
  }

  /**
   * Records the number of tasks that wait for slots of this agent at an entry.
   */
  setQueued(account: CreditAccount, queued: number): void {
    if (account.isActive && account.queued !== queued) {
      account.queued = queued;
      this.#balance();
    }
  }

  /**
   * Takes a slot for a task, and returns false when there is none.
   * @param account - Stream that brought the task.
   * @param options - `onCredit` is false for a task that was pushed, or sent
   * again on a new stream: such a task gets a slot only when one is free and
   * promised to nobody.
   */
  acquireSlot(account: CreditAccount, options: { onCredit: boolean }): boolean {
    if (options.onCredit && account.isActive && account.unused > 0) {
      account.unused--;
      useOldest(account);
    } else if (this.freeSlots <= 0) {
      return false;
    }
    const { entryId } = account;
    this.#running.set(entryId, this.#getRunning(entryId) + 1);
    this.#runningTotal++;
    return true;
  }

  /**
   * Records that a task has ended, and gets the number of credits to send with
   * its result.
   * @param account - Stream that brought the task.
   */
  releaseSlot(account: CreditAccount): number {
    const running = this.#getRunning(account.entryId) - 1;
    if (running > 0) {
      this.#running.set(account.entryId, running);
    } else {
      this.#running.delete(account.entryId);
    }
    this.#runningTotal--;
    return this.#grantFreeTo(account);
  }

  /**
   * Records that a dispatch on a credit needed no slot, since its attempt is
   * known already.
   * @param account - Stream that brought the dispatch.
   */
  consumeCredit(account: CreditAccount): number {
    if (!account.isActive || account.unused <= 0) {
      return 0;
    }
    account.unused--;
    useOldest(account);
    return this.#grantFreeTo(account);
  }

  /**
   * Records the return of unused credits; each revocation is answered with one
   * return, of 0 at least. Gets the number of grant messages of which no credit
   * was used.
   */
  returnCredits(account: CreditAccount, count: number): number {
    if (!account.isActive) {
      return 0;
    }
    account.unused = Math.max(0, account.unused - count);
    account.revoking = 0;
    const wasted = removeNewest(account, count);
    this.#balance();
    return wasted;
  }

  /**
   * Grants a free slot with a result when its entry is the one to get it: that
   * costs no message.
   */
  #grantFreeTo(account: CreditAccount): number {
    const receiver = this.#isOpen && this.freeSlots > 0
      ? this.#findReceiver(account)
      : undefined;
    const granted = receiver === account && account.isActive ? 1 : 0;
    if (granted > 0) {
      account.unused++;
      account.grants.push({
        hasOwnMessage: false,
        remaining: 1,
        wasUsed: false,
      });
    }
    this.#balance();
    return granted;
  }

  /**
   * Grants free slots, and asks idle credits back while another entry queues.
   */
  #balance(): void {
    const grants = new Map<CreditAccount, number>();
    for (
      let freeSlots = this.#isOpen ? this.freeSlots : 0;
      freeSlots > 0;
      freeSlots--
    ) {
      const receiver = this.#findReceiver();
      if (receiver === undefined) {
        return;
      }
      receiver.unused++;
      grants.set(receiver, (grants.get(receiver) ?? 0) + 1);
    }
    for (const [account, count] of grants) {
      account.grants.push({
        hasOwnMessage: true,
        remaining: count,
        wasUsed: false,
      });
      account.sendGrant(count);
    }
    this.#revokeIdle();
  }

  /**
   * At most one revocation is open on a stream, so that a return can be matched
   * with it.
   */
  #revokeIdle(): void {
    let wanted = Math.max(0, -this.freeSlots);
    for (const account of this.#accounts.values()) {
      wanted += Math.max(0, account.queued - account.unused);
      wanted -= account.revoking;
    }
    for (const account of this.#accounts.values()) {
      const count = this.#getRevocable(account, wanted);
      if (account.revoking === 0 && count > 0) {
        account.revoking = count;
        wanted -= count;
        account.sendRevoke(count);
      }
    }
  }

  #getRevocable(account: CreditAccount, wanted: number): number {
    if (!this.#isOpen) {
      return account.unused;
    }
    const kept = this.freeSlots < 0 ? 0 : account.queued;
    return Math.min(wanted, account.unused - kept);
  }

  /**
   * Finds the entry for a free slot. Without demand a slot stays with the
   * preferred entry unless another one holds nothing here, since each move
   * costs a message.
   */
  #findReceiver(preferred?: CreditAccount): CreditAccount | undefined {
    let best: CreditAccount | undefined;
    let bestRank: [number, number] = [2, 0];
    for (const account of this.#accounts.values()) {
      if (account.isSuspended) {
        continue;
      }
      const held = account.unused + this.#getRunning(account.entryId);
      const rank: [number, number] = account.queued > account.unused
        ? [0, held]
        : [1, preferred?.isActive ? Math.min(held, 1) : held];
      const order = rank[0] - bestRank[0] || rank[1] - bestRank[1];
      if (order < 0 || (order === 0 && account === preferred)) {
        best = account;
        bestRank = rank;
      }
    }
    return best;
  }

  #getRunning(entryId: string): number {
    return this.#running.get(entryId) ?? 0;
  }
}

function useOldest({ grants }: CreditAccount): void {
  const [oldest] = grants;
  if (oldest !== undefined) {
    oldest.remaining--;
    oldest.wasUsed = true;
    if (oldest.remaining === 0) {
      grants.shift();
    }
  }
}

/**
 * Removes returned credits, and gets the number of grant messages that proved
 * useless.
 */
function removeNewest({ grants }: CreditAccount, count: number): number {
  let wasted = 0;
  for (let rest = count; rest > 0;) {
    const newest = grants.at(-1);
    if (newest === undefined) {
      return wasted;
    }
    const removed = Math.min(rest, newest.remaining);
    newest.remaining -= removed;
    rest -= removed;
    if (newest.remaining === 0) {
      grants.pop();
      wasted += newest.hasOwnMessage && !newest.wasUsed ? 1 : 0;
    }
  }
  return wasted;
}
