import type { LogPage, LogService } from "../ports/mod.ts";
import { type LogRecord, ViewSnapshot } from "../../state/view/mod.ts";
import { parseLogRecord } from "./parse_log_record.ts";

/**
 * Number of records in one read. Equals the number of records after which a
 * snapshot is due.
 */
const READ_RECORDS = 500;

type Snapshot = Extract<LogRecord, { type: "snapshot" }>;

/**
 * Finds the newest snapshot that the log retains together with all records
 * after the snapshot's view. Searches backwards from the head, since the newest
 * snapshot is close to it. Returns undefined if there is none or a read fails.
 */
export async function findSnapshot(
  log: LogService,
  page: Pick<LogPage, "first" | "head">,
): Promise<
  { offset: number; record: Snapshot } | undefined
> {
  let { first } = page;
  for (let end = page.head; end >= first; end -= READ_RECORDS) {
    const from = Math.max(first, end - READ_RECORDS + 1);
    const read = await log.read(from, end - from + 1);
    if (read.isErr()) {
      return undefined;
    }
    // The log may delete old records during the search.
    first = Math.max(first, read.value.first);
    for (const { offset, json } of read.value.records.toReversed()) {
      const record = parseLogRecord(json);
      if (record?.type === "snapshot" && isUsableSnapshot(record, first)) {
        return { offset, record };
      }
    }
  }
  return undefined;
}

/**
 * Checks whether the log retains all records after the snapshot and this
 * version can read it.
 */
function isUsableSnapshot(record: Snapshot, first: number): boolean {
  return record.at + 1 >= first &&
    ViewSnapshot.safeParse(record.view).data?.offset === record.at;
}
