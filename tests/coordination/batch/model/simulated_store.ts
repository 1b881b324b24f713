/** The store of a model, as its processes see it. */
import { err, ok, type Result } from "neverthrow";
import type {
  KeyedPage,
  KeyedStore,
  KeyedTopic,
} from "../../../../src/coordination/ports/mod.ts";
import {
  createError,
  type DispatchError,
} from "../../../../src/state/errors/mod.ts";
import type { SimulatedProcess } from "./simulated_process.ts";
import type { SimulatedTime } from "./simulated_time.ts";

/** Time of a call in each direction, in milliseconds. */
const DELAY_MS = 1;

interface KeyedRecord {
  key: string;
  value: string | undefined;
}

type Respond<T> = (result: Result<T, DispatchError>) => void;

interface WaitingRead {
  topic: KeyedTopic;
  from: number;
  respond: Respond<KeyedPage>;
}

export class SimulatedStore {
  readonly #time: SimulatedTime;
  readonly #topics = new Map<KeyedTopic, KeyedRecord[]>();
  readonly #waitingReads = new Set<WaitingRead>();
  #isLost = false;

  constructor(time: SimulatedTime) {
    this.#time = time;
  }

  /** Creates the store's client in a process. */
  createClient(process: SimulatedProcess): KeyedStore {
    const call = <T>(handle: (respond: Respond<T>) => void) =>
      this.#call(process, handle);
    return {
      readNewest: (topic) =>
        call<KeyedPage>((respond) => respond(ok(this.#getNewest(topic)))),
      readFrom: (topic, { from, waitMs }) =>
        call<KeyedPage>((respond) =>
          this.#read({ topic, from, respond }, waitMs)
        ),
      append: (topic, record) =>
        call<void>((respond) => {
          this.#append(topic, record);
          respond(ok(undefined));
        }),
    };
  }

  /** Sets whether the store refuses all calls. */
  setLost(isLost: boolean): void {
    this.#isLost = isLost;
    if (isLost) {
      const waiting = [...this.#waitingReads];
      this.#waitingReads.clear();
      waiting.forEach(({ respond }) => respond(createRefusal()));
    }
  }

  #call<T>(
    process: SimulatedProcess,
    handle: (respond: Respond<T>) => void,
  ): Promise<Result<T, DispatchError>> {
    return new Promise((resolve) => {
      const respond: Respond<T> = (result) => {
        this.#time.schedule(DELAY_MS, () => resolve(result), {
          getProcess: () => process,
        });
      };
      this.#time.schedule(
        DELAY_MS,
        () => this.#isLost ? respond(createRefusal()) : handle(respond),
        { getProcess: () => undefined },
      );
    });
  }

  #read(read: WaitingRead, waitMs: number): void {
    this.#waitingReads.add(read);
    if (this.#getRecords(read.topic).length > read.from) {
      this.#respond(read);
      return;
    }
    this.#time.schedule(waitMs, () => this.#respond(read), {
      getProcess: () => undefined,
    });
  }

  #respond(read: WaitingRead): void {
    if (this.#waitingReads.delete(read)) {
      const records = this.#getRecords(read.topic).slice(read.from);
      read.respond(ok({ records, end: read.from + records.length }));
    }
  }

  #append(topic: KeyedTopic, record: KeyedRecord): void {
    this.#topics.set(topic, [...this.#getRecords(topic), record]);
    for (const read of this.#waitingReads) {
      if (read.topic === topic) {
        this.#respond(read);
      }
    }
  }

  #getNewest(topic: KeyedTopic): KeyedPage {
    const records = this.#getRecords(topic);
    const newest = new Map(records.map((record) => [record.key, record]));
    return { records: [...newest.values()], end: records.length };
  }

  #getRecords(topic: KeyedTopic): KeyedRecord[] {
    return this.#topics.get(topic) ?? [];
  }
}

function createRefusal(): Result<never, DispatchError> {
  return err(createError("upstream_unreachable", "the store is lost"));
}
