import { err, ok } from "neverthrow";
import type {
  LogPage,
  LogService,
} from "../../../src/coordination/ports/mod.ts";
import { createError } from "../../../src/state/errors/mod.ts";
import type { LogRecord, Member } from "../../../src/state/view/mod.ts";

/**
 * An in-memory log that replies within the same event-loop tick, for tests with
 * a fake clock.
 */
export class MemoryLog implements LogService {
  readonly records: { offset: number; json: string }[] = [];
  first = 1;
  isDown = false;

  append(record: LogRecord): ReturnType<LogService["append"]> {
    if (this.isDown) {
      return Promise.resolve(err(createError("log_unreachable", "down")));
    }
    const offset = this.records.length + 1;
    this.records.push({ offset, json: JSON.stringify(record) });
    return Promise.resolve(ok(offset));
  }

  read(from: number, limit: number): ReturnType<LogService["read"]> {
    return Promise.resolve(
      this.isDown
        ? err(createError("log_unreachable", "down"))
        : ok(this.getPage(from, limit)),
    );
  }

  getPage(from: number, limit: number): LogPage {
    const start = Math.max(from, this.first) - 1;
    const records = this.records.slice(start, start + limit);
    return { first: this.first, head: this.records.length, records };
  }

  async appendChange(priority: number): Promise<void> {
    const id = `change-${this.records.length}`;
    const edits = [{ path: "rules.priority", value: priority }];
    const baseRevision = this.records.length;
    await this.append({
      ...{ type: "change", id, baseRevision, operator: "test", edits },
    });
  }

  async appendAnnouncement(
    id: string,
    zone: string,
    role: Member["role"] = "entry",
  ) {
    const addresses = { peerAddress: "", httpAddress: "" };
    const member = { id, name: id, role, zone, ...addresses };
    await this.append({
      type: "announce",
      member: { ...member, services: [], slots: 0 },
    });
  }
}
