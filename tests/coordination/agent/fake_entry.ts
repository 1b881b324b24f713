import type { CreditAccount } from "../../../src/coordination/agent/credit_account.ts";
import type { CreditLedger } from "../../../src/coordination/agent/mod.ts";

/**
 * An entry at the other end of a stream whose messages arrive in order and only
 * when `deliver` is called.
 */
export class FakeEntry {
  readonly #ledger: CreditLedger;
  readonly #id: string;
  #account: CreditAccount | undefined;
  #toEntry: (() => void)[] = [];
  #toAgent: (() => void)[] = [];
  readonly #tasks: CreditAccount[] = [];
  credits = 0;
  queued = 0;

  constructor(ledger: CreditLedger, id: string) {
    this.#ledger = ledger;
    this.#id = id;
    this.openStream();
  }

  /** Gets the number of its tasks that run at the agent. */
  get running(): number {
    return this.#tasks.length;
  }

  /** Gets the open stream's account. */
  get account(): CreditAccount {
    return this.#account as CreditAccount;
  }

  openStream(): void {
    if (this.#account !== undefined) {
      return;
    }
    const toEntry: (() => void)[] = this.#toEntry = [];
    const toAgent: (() => void)[] = this.#toAgent = [];
    const account = this.#ledger.addEntry(this.#id, {
      sendGrant: (count) => toEntry.push(() => this.#addCredits(count)),
      sendRevoke: (asked) =>
        toEntry.push(() => {
          const count = Math.min(asked, this.credits);
          this.credits -= count;
          toAgent.push(() => this.#ledger.returnCredits(account, count));
        }),
    });
    this.#account = account;
    this.#tell();
  }

  breakStream(): void {
    if (this.#account !== undefined) {
      this.#ledger.removeEntry(this.#account);
      this.#account = undefined;
      this.credits = 0;
      // What was on its way is lost; tasks of lost dispatches are sent again.
      this.queued += this.#toAgent.length;
      this.#toAgent = [];
      this.#toEntry = [];
    }
  }

  queue(count: number): void {
    this.queued += count;
    this.#sendTasks();
    this.#tell();
  }

  /** Delivers up to `count` messages in each direction. */
  deliver(count: number): void {
    this.#toAgent.splice(0, count).forEach((receive) => receive());
    this.#toEntry.splice(0, count).forEach((receive) => receive());
    this.#toAgent.splice(0, count).forEach((receive) => receive());
  }

  endTask(): void {
    const account = this.#tasks.shift();
    if (account !== undefined) {
      const granted = this.#ledger.releaseSlot(account);
      const isCurrent = account === this.#account;
      if (granted > 0 && isCurrent) {
        this.#toEntry.push(() => this.#addCredits(granted));
      }
    }
  }

  #addCredits(count: number): void {
    this.credits += count;
    this.#sendTasks();
    this.#tell();
  }

  #sendTasks(): void {
    const account = this.#account;
    while (account !== undefined && this.credits > 0 && this.queued > 0) {
      this.credits--;
      this.queued--;
      this.#toAgent.push(() => {
        if (this.#ledger.acquireSlot(account, { onCredit: true })) {
          this.#tasks.push(account);
        } else {
          throw new Error("a task on a credit found no slot");
        }
      });
    }
  }

  #tell(): void {
    const { queued } = this;
    const account = this.#account;
    if (account !== undefined) {
      this.#toAgent.push(() => this.#ledger.setQueued(account, queued));
    }
  }
}
