import type { JobConfirmation, JobGrant } from "../../messages/mod.ts";

/** The session of the entry whose orders wait. */
interface GrantOwner {
  readonly name: string;
  readonly incarnation: string;
  /** Asks the entry whether the homes have granted a claim. */
  requestConfirmation(jobId: string, number: number): void;
}

export interface AwaitedGrantOptions {
  owner: GrantOwner;
  jobId: string;
  /** Number of the claim. */
  number: number;
  /** Number of homes that must grant the claim. */
  homeCount: number;
}

/** A claim that the homes of a job have to grant before runs of it are started. */
export class AwaitedGrant {
  readonly #options: AwaitedGrantOptions;
  readonly #homes = new Set<string>();
  #isConfirmed = false;
  #spec: string | undefined;
  /** Number of checks while the grant was missing. */
  #checks = 0;
  #completedAt: number | undefined;

  constructor(options: AwaitedGrantOptions) {
    this.#options = options;
  }

  /** Gets when runs were allowed to start, on the monotonic clock. */
  get completedAt(): number | undefined {
    return this.#completedAt;
  }

  /** Gets whether runs may be started. */
  get isComplete(): boolean {
    return this.#spec !== undefined &&
      (this.#isConfirmed || this.#homes.size >= this.#options.homeCount);
  }

  /** Gets the spec of the job; empty before the grant. */
  get spec(): string {
    return this.#spec ?? "";
  }

  /** Returns whether a grant or a confirmation is one of this claim. */
  matches(
    { entry, incarnation, jobId, number }: Omit<JobGrant, "home">,
  ): boolean {
    const { owner } = this.#options;
    return owner.name === entry && owner.incarnation === incarnation &&
      this.#options.jobId === jobId && this.#options.number === number;
  }

  /** Records the grant of one home. */
  recordGrant({ home, spec }: JobGrant): void {
    this.#homes.add(home);
    this.#spec ??= spec;
    this.#updateCompletion();
  }

  /** Records that the entry has got all grants. */
  recordConfirmation({ spec }: JobConfirmation): void {
    this.#isConfirmed = true;
    this.#spec ??= spec;
    this.#updateCompletion();
  }

  #updateCompletion(): void {
    this.#completedAt ??= this.isComplete ? performance.now() : undefined;
  }

  /** Asks the entry in each fourth check, since a notice of a home may be lost. */
  runPeriodicCheck(): void {
    this.#checks++;
    if (this.#checks % 4 === 2) {
      const { owner, jobId, number } = this.#options;
      owner.requestConfirmation(jobId, number);
    }
  }
}
