import type { CreditAccount } from "./credit_account.ts";

export interface CreditAccountOptions {
  /** Sends credits to the entry. */
  sendGrant: (count: number) => void;
  /** Asks the entry to return unused credits. */
  sendRevoke: (count: number) => void;
}

/**
 * Tracks the credits that one agent has granted. A credit reserves a free slot
 * for one entry. The sum of unused credits and running tasks never exceeds the
 * number of slots, so a task that is sent on a credit always finds a free slot.
 * The only exception is a reduction of the slots: the sum exceeds them until
 * the excess credits are revoked.
 *
 * Credits are allocated by demand. A free slot goes to the entry with queued
 * tasks that holds the fewest slots, which is max-min fair. When no entry has
 * queued tasks, free slots are spread evenly, so that a task can start at once.
 * Idle credits are revoked when another entry has queued tasks.
 */
export class CreditLedger {
  readonly #accounts = new Map<string, CreditAccount>();
  /**
   * Number of running tasks by entry id. A task keeps running when the stream
   * that delivered it ends.
   */
  readonly #runningByEntry = new Map<string, number>();
  #runningTotal = 0;
  #slots: number;
  #isGranting = false;

  /** @param slots - Maximum number of concurrent tasks. */
  constructor(slots: number) {
    this.#slots = slots;
  }

  /**
   * Gets the number of slots that are neither reserved by a credit nor in use.
   * Negative while the slots are overcommitted after a reduction.
   */
  get freeSlots(): number {
    let used = this.#runningTotal;
    for (const account of this.#accounts.values()) {
      used += account.unused;
    }
    return this.#slots - used;
  }

  /** Gets the number of running tasks. */
  get runningCount(): number {
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
   * Starts or stops granting credits. Stopping revokes all unused credits.
   */
  setGranting(isGranting: boolean): void {
    if (isGranting !== this.#isGranting) {
      this.#isGranting = isGranting;
      this.#balance();
    }
  }

  /**
   * Adds an entry's stream. An older stream of the same entry is replaced, and
   * its unused credits expire.
   * @param entryId - Member id of the entry.
   * @param options - Functions that send messages to the entry.
   */
  addEntry(entryId: string, options: CreditAccountOptions): CreditAccount {
    const replaced = this.#accounts.get(entryId);
    if (replaced !== undefined) {
      replaced.isActive = false;
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

  /** Removes a stream that has ended, and frees its unused credits. */
  removeEntry(account: CreditAccount): void {
    account.isActive = false;
    if (this.#accounts.get(account.entryId) === account) {
      this.#accounts.delete(account.entryId);
      this.#balance();
    }
  }

  /**
   * Invalidates the unused credits of an entry that sends no heartbeats,
   * without waiting for their return: a paused entry would keep slots idle
   * until it is removed. A task that it later sends on such a credit gets a
   * slot only if one is free.
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

  /** Resumes granting credits to an entry that sends heartbeats again. */
  resume(account: CreditAccount): void {
    if (account.isSuspended) {
      account.isSuspended = false;
      this.#balance();
    }
  }

  /**
   * Records the number of tasks queued at an entry that wait for slots of this
   * agent.
   */
  setQueued(account: CreditAccount, queued: number): void {
    if (account.isActive && account.queued !== queued) {
      account.queued = queued;
      this.#balance();
    }
  }

  /**
   * Acquires a slot for a task. Returns false if there is none.
   * @param account - Account of the stream that delivered the task.
   * @param options - `onCredit` is false for a task that was pushed without a
   * credit, or sent again on a new stream. Such a task gets a slot only if one
   * is free and not reserved by a credit.
   */
  acquireSlot(account: CreditAccount, options: { onCredit: boolean }): boolean {
    if (options.onCredit && account.isActive && account.unused > 0) {
      account.unused--;
      consumeOldestCredit(account);
    } else if (this.freeSlots <= 0) {
      return false;
    }
    const { entryId } = account;
    this.#runningByEntry.set(entryId, this.#getRunningCount(entryId) + 1);
    this.#runningTotal++;
    return true;
  }

  /**
   * Records that a task has ended. Returns the number of credits to send with
   * its result.
   * @param account - Account of the stream that delivered the task.
   */
  releaseSlot(account: CreditAccount): number {
    const runningCount = this.#getRunningCount(account.entryId) - 1;
    if (runningCount > 0) {
      this.#runningByEntry.set(account.entryId, runningCount);
    } else {
      this.#runningByEntry.delete(account.entryId);
    }
    this.#runningTotal--;
    return this.#grantWithResult(account);
  }

  /**
   * Consumes the credit of a dispatch that needs no slot because its attempt is
   * already known. Returns the number of credits to send with its result.
   * @param account - Account of the stream that delivered the dispatch.
   */
  consumeCredit(account: CreditAccount): number {
    if (!account.isActive || account.unused <= 0) {
      return 0;
    }
    account.unused--;
    consumeOldestCredit(account);
    return this.#grantWithResult(account);
  }

  /**
   * Records the return of unused credits. The entry answers each revocation
   * with exactly one return, whose count may be 0. Returns the number of grant
   * messages of which no credit was used.
   */
  returnCredits(account: CreditAccount, count: number): number {
    if (!account.isActive) {
      return 0;
    }
    account.unused = Math.max(0, account.unused - count);
    account.revoking = 0;
    const wasted = removeNewestCredits(account, count);
    this.#balance();
    return wasted;
  }

  /**
   * Grants a free slot to the account if it is the next receiver. The credit is
   * sent with a task result and so costs no message of its own.
   */
  #grantWithResult(account: CreditAccount): number {
    const receiver = this.#isGranting && this.freeSlots > 0
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
   * Grants free slots, and revokes idle credits while another entry has queued
   * tasks.
   */
  #balance(): void {
    const grants = new Map<CreditAccount, number>();
    for (
      let freeSlots = this.#isGranting ? this.freeSlots : 0;
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
    this.#revokeIdleCredits();
  }

  /**
   * Revokes idle credits that other entries need. At most one revocation is
   * pending on each stream, so that a return can be matched with it.
   */
  #revokeIdleCredits(): void {
    let needed = Math.max(0, -this.freeSlots);
    for (const account of this.#accounts.values()) {
      needed += Math.max(0, account.queued - account.unused);
      needed -= account.revoking;
    }
    for (const account of this.#accounts.values()) {
      const count = this.#getRevocable(account, needed);
      if (account.revoking === 0 && count > 0) {
        account.revoking = count;
        needed -= count;
        account.sendRevoke(count);
      }
    }
  }

  #getRevocable(account: CreditAccount, needed: number): number {
    if (!this.#isGranting) {
      return account.unused;
    }
    const reserved = this.freeSlots < 0 ? 0 : account.queued;
    return Math.min(needed, account.unused - reserved);
  }

  /**
   * Finds the entry that gets the next free slot. Without demand, the slot
   * stays with the preferred entry unless another entry holds no slot at this
   * agent, since each move costs a message.
   */
  #findReceiver(preferred?: CreditAccount): CreditAccount | undefined {
    let best: CreditAccount | undefined;
    let bestRank: [number, number] = [2, 0];
    for (const account of this.#accounts.values()) {
      if (account.isSuspended) {
        continue;
      }
      const held = account.unused + this.#getRunningCount(account.entryId);
      const rank: [number, number] = account.queued > account.unused
        ? [0, held]
        : [1, preferred?.isActive ? Math.min(held, 1) : held];
      const comparison = rank[0] - bestRank[0] || rank[1] - bestRank[1];
      if (comparison < 0 || (comparison === 0 && account === preferred)) {
        best = account;
        bestRank = rank;
      }
    }
    return best;
  }

  #getRunningCount(entryId: string): number {
    return this.#runningByEntry.get(entryId) ?? 0;
  }
}

function consumeOldestCredit({ grants }: CreditAccount): void {
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
 * Removes returned credits from the newest grants. Returns the number of grant
 * messages of which no credit was used.
 */
function removeNewestCredits({ grants }: CreditAccount, count: number): number {
  let wasted = 0;
  for (let left = count; left > 0;) {
    const newest = grants.at(-1);
    if (newest === undefined) {
      return wasted;
    }
    const removed = Math.min(left, newest.remaining);
    newest.remaining -= removed;
    left -= removed;
    if (newest.remaining === 0) {
      grants.pop();
      wasted += newest.hasOwnMessage && !newest.wasUsed ? 1 : 0;
    }
  }
  return wasted;
}
