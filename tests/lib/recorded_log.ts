import type { EventLog } from "../../src/coordination/ports/mod.ts";

/** An event log that keeps its events for checks. */
export class RecordedLog implements EventLog {
  readonly events: { event: string; fields: Record<string, unknown> }[] = [];

  record(event: string, fields: Record<string, unknown> = {}): void {
    this.events.push({ event, fields });
  }

  /** Counts the events of a name. */
  count(name: string): number {
    return this.events.filter(({ event }) => event === name).length;
  }
}
