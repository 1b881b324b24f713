import type { EventLog } from "../../src/coordination/ports/mod.ts";

/** An event log that stores its events, so that tests can check them. */
export class RecordedLog implements EventLog {
  readonly events: { event: string; fields: Record<string, unknown> }[] = [];

  record(event: string, fields: Record<string, unknown> = {}): void {
    this.events.push({ event, fields });
  }

  /** Counts the events with the given name. */
  count(name: string): number {
    return this.events.filter(({ event }) => event === name).length;
  }
}
