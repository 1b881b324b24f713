import type { RunEnd } from "../../messages/mod.ts";

/** Who ordered a run and is told of its end. */
export interface RunOwner {
  /** Name of the entry. */
  readonly name: string;
  /** Does fresh proof exist that the entry hears this agent? */
  isResponsive(): boolean;
  handleEnd(end: RunEnd): void;
}
