import type { AsyncCommand } from "fast-check";

/** State that the commands of one fuzz run share. */
export interface FuzzModel {
  /** Keys of the submitted jobs, in order. */
  readonly keys: string[];
  /** Ids of the killed processes that were not restarted yet. */
  readonly killedIds: Set<string>;
}

export interface FuzzCommandOptions {
  /** Name and arguments, shown in the report of a failure. */
  name: string;
  canRun?: (model: FuzzModel) => boolean;
  run: (model: FuzzModel) => Promise<void> | void;
}

/** A command of the fuzz test, such as a submission or a fault. */
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
