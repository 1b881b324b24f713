import type { LogPage, LogService } from "../ports/mod.ts";
import { type LogRecord, ViewSnapshot } from "../../state/view/mod.ts";
import { parseLogRecord } from "./parse_log_record.ts";

/** Records read at one time; a snapshot is due after as many records. */
const READ_LIMIT = 500;

type Snapshot = Extract<LogRecord, { type: "snapshot" }>;

/**
 * Finds the newest snapshot that the log retains together with all records
 * after its view. Searches from the head backwards, since the newest one is
 * near it.
 */
export async function findSnapshot(
  log: LogService,
  page: Pick<LogPage, "first" | "head">,
): Promise<
  { offset: number; record: Snapshot } | undefined
> {
  let { first } = page;
  for (let end = page.head; end >= first; end -= READ_LIMIT) {
    const from = Math.max(first, end - READ_LIMIT + 1);
    const read = await log.read(from, end - from + 1);
    if (read.isErr()) {
      return undefined;
    }
    // Retention goes on while the search runs.
    first = Math.max(first, read.value.first);
    for (const { offset, json } of read.value.records.toReversed()) {
      const record = parseLogRecord(json);
      if (record?.type === "snapshot" && isUsable(record, first)) {
        return { offset, record };
      }
    }
  }
  return undefined;
}

/**
 * Does the log retain all records after the snapshot, and can this version read
 * it?
 */
function isUsable(record: Snapshot, first: number): boolean {
  return record.at + 1 >= first &&
    ViewSnapshot.safeParse(record.view).data?.offset === record.at;
}
