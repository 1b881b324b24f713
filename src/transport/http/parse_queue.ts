/**
 * Decides in which order a server parses what its clients have sent. The load: bodies in
 * very many small chunks, of which each takes as long as a large one, from hundreds of
 * clients at once.
 *
 * What arrives is parsed at once up to a limit for each turn of the event loop. Beyond it,
 * connections wait: those first whose request was cheap so far, then the others in turn. A
 * single request is parsed as fast as the process can, in any form, and a crowd leaves
 * time for the rest of the process.
 */
import type { ParseSource } from "./parse_source.ts";

/** Largest cost of what is parsed in a turn of the event loop. */
const TURN_COST = 1_024;

/** Cost of ordinary requests, up to which parsing isn't counted. */
const UNCOUNTED_COST = 16;

export class ParseQueue {
  readonly #cheap = new Set<ParseSource>();
  readonly #costly = new Set<ParseSource>();
  readonly #scheduleTurn: (run: () => void) => void;
  #spentCost = 0;
  #isTurnScheduled = false;

  /** @param scheduleTurn - Calls a function in the next turn of the event loop. */
  constructor(scheduleTurn: (run: () => void) => void = setImmediate) {
    this.#scheduleTurn = scheduleTurn;
  }

  /** Gets the number of connections that wait. */
  get waitingCount(): number {
    return this.#cheap.size + this.#costly.size;
  }

  /** Parses what a connection has received, or lets it wait. */
  process(source: ParseSource): void {
    const mayParse = this.waitingCount === 0 ||
      (!source.isCostly && !this.#cheap.has(source));
    let cost = 0;
    while (
      mayParse && source.canParse && this.#spentCost + cost < TURN_COST
    ) {
      cost += source.parseNext();
    }
    if (cost > UNCOUNTED_COST) {
      this.#spentCost += cost;
      this.#startTurn();
    }
    if (source.canParse) {
      this.#enqueue(source);
    }
  }

  remove(source: ParseSource): void {
    this.#cheap.delete(source);
    this.#costly.delete(source);
  }

  #enqueue(source: ParseSource): void {
    this.remove(source);
    (source.isCostly ? this.#costly : this.#cheap).add(source);
    this.#startTurn();
  }

  #startTurn(): void {
    if (!this.#isTurnScheduled) {
      this.#isTurnScheduled = true;
      this.#scheduleTurn(() => this.#runTurn());
    }
  }

  #runTurn(): void {
    this.#isTurnScheduled = false;
    for (let cost = 0; cost < TURN_COST;) {
      const [source] = this.#cheap.size > 0 ? this.#cheap : this.#costly;
      if (source === undefined) {
        break;
      }
      this.remove(source);
      if (source.canParse) {
        cost += source.parseNext();
      }
      // It waits behind the others with what is left.
      if (source.canParse) {
        this.#enqueue(source);
      }
    }
    this.#spentCost = 0;
    if (this.waitingCount > 0) {
      this.#startTurn();
    }
  }
}
