/** The record of one run of a case: what was sent, answered and run. */
import { writeFileSync } from "node:fs";

export class Record {
  #lines = [];
  #startedAt = performance.now();

  /** Milliseconds since the start of the record. */
  now() {
    return Math.round(performance.now() - this.#startedAt);
  }

  add(who, what) {
    const at = this.now();
    this.#lines.push(`${String(at).padStart(7)} ms  ${who.padEnd(9)} ${what}`);
    return at;
  }

  write(path) {
    writeFileSync(path, this.#lines.join("\n") + "\n");
  }
}
