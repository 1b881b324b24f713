import type { AsyncCommand } from "fast-check";

/** What the fuzz test's commands know about one run. */
export interface FuzzModel {
  /** Keys that were submitted, in order. */
  readonly keys: string[];
  /** Processes that were killed, by name. */
  readonly killed: Set<string>;
  /** May a home of keys have changed since the run began? */
  hasMovedHomes: boolean;
}

export interface FuzzCommandOptions {
  /** Name and arguments, for the report of a failure. */
  name: string;
  canRun?: (model: FuzzModel) => boolean;
  run: (model: FuzzModel) => Promise<void> | void;
}

/** A command of the fuzz test. */
export class FuzzCommand implements AsyncCommand<FuzzModel, object> {
  readonly #options: FuzzCommandOptions;

  constructor(options: FuzzCommandOptions) {
    this.#options = options;
  }

  check(model: Readonly<FuzzModel>): boolean {
    return this.#options.canRun?.(model) ?? true;
  }

  async run(model: FuzzModel): Promise<void> {
    await this.#options.run(model);
  }

  toString(): string {
    return this.#options.name;
  }
}
