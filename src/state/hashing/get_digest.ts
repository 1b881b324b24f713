import { hasher } from "./hasher.ts";

/** Gets the xxhash64 of some bytes as 16 hexadecimal digits. */
export function getDigest(bytes: Uint8Array): string {
  return hasher.h64Raw(bytes).toString(16).padStart(16, "0");
}
