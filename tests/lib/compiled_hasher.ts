/** Hooks that mocha loads before the tests, which use hashes without a process. */
import { hasher } from "../../src/state/hashing/mod.ts";

export const mochaHooks = {
  beforeAll: () => hasher.compiled,
};
