import type { Member } from "./member.ts";

/** A member as the view holds it. */
export interface MemberState extends Member {
  /**
   * A leaving member gets no new work, finishes what it has and still answers
   * other processes.
   */
  readonly phase: "live" | "leaving";
  /** Offset of the member's announcement. */
  readonly announcedAt: number;
}
