import { randomBytes } from "node:crypto";

/** Creates a random member id for a new incarnation of a process. */
export function createMemberId(name: string): string {
  return `${name}#${randomBytes(4).toString("hex")}`;
}
