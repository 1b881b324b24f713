import type { Queue } from "p-queue";
import type { DispatchQueueOptions } from "./dispatch_queue_options.ts";

type RunFunction = () => Promise<unknown>;

interface Waiting {
  readonly run: RunFunction;
  readonly options: DispatchQueueOptions;
}

interface CustomerQueue {
  /** Virtual time of weighted fair queueing: work done divided by weight. */
  virtualTime: number;
  waiting: Waiting[];
}

/**
 * The queue class for p-queue: weighted fair sharing between customers, priorities within a customer. Its
 * size counts only while some task can be placed, so p-queue starts a task exactly when an agent can take it.
 */
export class DispatchQueue implements Queue<RunFunction, DispatchQueueOptions> {
  readonly #canPlace: (options: DispatchQueueOptions) => boolean;
  readonly #customers = new Map<string, CustomerQueue>();
  #virtualTime = 0;
  #waiting = 0;
  readonly #waitingByService = new Map<string, number>();

  /** @param canPlace - Can a task be sent to an agent now? */
  constructor(canPlace: (options: DispatchQueueOptions) => boolean) {
    this.#canPlace = canPlace;
  }

  /** Gets the number of waiting tasks. */
  get waiting(): number {
    return this.#waiting;
  }

  /** Gets the number of waiting tasks by service. */
  get waitingByService(): ReadonlyMap<string, number> {
    return this.#waitingByService;
  }

  /** Gets the number of waiting tasks, or 0 while none of them can be placed. */
  get size(): number {
    return this.#findNext() === undefined ? 0 : this.#waiting;
  }

  enqueue(run: RunFunction, options?: Partial<DispatchQueueOptions>): void {
    const item = { run, options: options as DispatchQueueOptions };
    const queue = this.#customers.get(item.options.customer) ??
      { virtualTime: 0, waiting: [] };
    if (queue.waiting.length === 0) {
      queue.virtualTime = Math.max(queue.virtualTime, this.#virtualTime);
    }
    const position = queue.waiting.findLastIndex((other) =>
      other.options.priority >= item.options.priority
    );
    queue.waiting.splice(position + 1, 0, item);
    this.#customers.set(item.options.customer, queue);
    this.#addWaiting(item, 1);
  }

  dequeue(): RunFunction | undefined {
    const next = this.#findNext();
    if (next === undefined) {
      return undefined;
    }
    const { queue, index } = next;
    const [item] = queue.waiting.splice(index, 1) as [Waiting];
    this.#virtualTime = queue.virtualTime;
    queue.virtualTime += 1 / item.options.weight;
    this.#addWaiting(item, -1);
    return item.run;
  }

  filter(options: Readonly<Partial<DispatchQueueOptions>>): RunFunction[] {
    const runs: RunFunction[] = [];
    for (const queue of this.#customers.values()) {
      for (const item of queue.waiting) {
        if (item.options.priority === options.priority) {
          runs.push(item.run);
        }
      }
    }
    return runs;
  }

  setPriority(): void {
    throw new Error("the priority of a waiting task doesn't change");
  }

  remove(id: string): void {
    for (const queue of this.#customers.values()) {
      const index = queue.waiting.findIndex((item) => item.options.id === id);
      if (index >= 0) {
        const [item] = queue.waiting.splice(index, 1) as [Waiting];
        this.#addWaiting(item, -1);
        return;
      }
    }
  }

  #addWaiting(item: Waiting, count: number): void {
    const { service } = item.options;
    this.#waiting += count;
    const waiting = (this.#waitingByService.get(service) ?? 0) + count;
    this.#waitingByService.set(service, waiting);
  }

  #findNext(): { queue: CustomerQueue; index: number } | undefined {
    let best: { queue: CustomerQueue; index: number } | undefined;
    for (const queue of this.#customers.values()) {
      if (best !== undefined && queue.virtualTime >= best.queue.virtualTime) {
        continue;
      }
      const index = queue.waiting.findIndex((item) =>
        this.#canPlace(item.options)
      );
      if (index >= 0) {
        best = { queue, index };
      }
    }
    return best;
  }
}
