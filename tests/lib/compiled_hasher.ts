/**
 * Waits until hashes can be computed. Mocha loads this file first; a test file that
 * needs a hash while it is loaded, or is run without the configuration, imports it.
 */
import { hasher } from "../../src/state/hashing/mod.ts";

await hasher.compiled;
