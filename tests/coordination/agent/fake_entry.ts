import type { CreditAccount } from "../../../src/coordination/agent/credit_account.ts";
import type { CreditLedger } from "../../../src/coordination/agent/mod.ts";

/**
 * A fake entry whose stream delivers messages in order, and only when `deliver`
 * is called.
 */
export class FakeEntry {
  readonly #ledger: CreditLedger;
  readonly #id: string;
  #account: CreditAccount | undefined;
  #messagesToEntry: (() => void)[] = [];
  #messagesToAgent: (() => void)[] = [];
  readonly #tasks: CreditAccount[] = [];
  credits = 0;
  queued = 0;

  constructor(ledger: CreditLedger, id: string) {
    this.#ledger = ledger;
    this.#id = id;
    this.openStream();
  }

  /** Gets the number of this entry's tasks that are running at the agent. */
  get running(): number {
    return this.#tasks.length;
  }

  /** Gets the account of the open stream. */
  get account(): CreditAccount {
    return this.#account as CreditAccount;
  }

  openStream(): void {
    if (this.#account !== undefined) {
      return;
    }
    const messagesToEntry: (() => void)[] = this.#messagesToEntry = [];
    const messagesToAgent: (() => void)[] = this.#messagesToAgent = [];
    const account = this.#ledger.addEntry(this.#id, {
      sendGrant: (count) => messagesToEntry.push(() => this.#addCredits(count)),
      sendRevoke: (requested) =>
        messagesToEntry.push(() => {
          const count = Math.min(requested, this.credits);
          this.credits -= count;
          messagesToAgent.push(() =>
            this.#ledger.returnCredits(account, count)
          );
        }),
    });
    this.#account = account;
    this.#reportQueued();
  }

  breakStream(): void {
    if (this.#account !== undefined) {
      this.#ledger.removeEntry(this.#account);
      this.#account = undefined;
      this.credits = 0;
      // Messages in transit are lost; tasks of lost dispatches are sent again.
      this.queued += this.#messagesToAgent.length;
      this.#messagesToAgent = [];
      this.#messagesToEntry = [];
    }
  }

  queue(count: number): void {
    this.queued += count;
    this.#sendTasks();
    this.#reportQueued();
  }

  /** Delivers up to `count` messages in each direction. */
  deliver(count: number): void {
    this.#messagesToAgent.splice(0, count).forEach((receive) => receive());
    this.#messagesToEntry.splice(0, count).forEach((receive) => receive());
    this.#messagesToAgent.splice(0, count).forEach((receive) => receive());
  }

  endTask(): void {
    const account = this.#tasks.shift();
    if (account !== undefined) {
      const granted = this.#ledger.releaseSlot(account);
      const isCurrent = account === this.#account;
      if (granted > 0 && isCurrent) {
        this.#messagesToEntry.push(() => this.#addCredits(granted));
      }
    }
  }

  #addCredits(count: number): void {
    this.credits += count;
    this.#sendTasks();
    this.#reportQueued();
  }

  #sendTasks(): void {
    const account = this.#account;
    while (account !== undefined && this.credits > 0 && this.queued > 0) {
      this.credits--;
      this.queued--;
      this.#messagesToAgent.push(() => {
        if (this.#ledger.acquireSlot(account, { onCredit: true })) {
          this.#tasks.push(account);
        } else {
          throw new Error("no free slot for a task that was sent on a credit");
        }
      });
    }
  }

  #reportQueued(): void {
    const { queued } = this;
    const account = this.#account;
    if (account !== undefined) {
      this.#messagesToAgent.push(() => this.#ledger.setQueued(account, queued));
    }
  }
}
