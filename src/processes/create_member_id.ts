import { randomBytes } from "node:crypto";

/** Creates the id of a new incarnation of a process. */
export function createMemberId(name: string): string {
  return `${name}#${randomBytes(4).toString("hex")}`;
}
