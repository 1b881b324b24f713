export { getDigest } from "./get_digest.ts";
export { getRank } from "./get_rank.ts";
export { hasher } from "./hasher.ts";
