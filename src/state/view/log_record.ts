import * as z from "zod";
import { Member } from "./member.ts";

const Edit = z.strictObject({
  /** Dotted path into the settings tree. */
  path: z.string().min(1).max(512),
  /** New value, or null to remove the node. */
  value: z.json(),
});

/** A record of the log, as JSON. */
export const LogRecord = z.discriminatedUnion("type", [
  z.strictObject({
    type: z.literal("change"),
    /** Unique id; a record with an id that was seen before has no effect. */
    id: z.string().min(1).max(128),
    /** Revision of the settings on which the operator based the change. */
    baseRevision: z.int().min(0),
    operator: z.string().min(1).max(128),
    edits: z.array(Edit).min(1).max(1000),
  }),
  z.strictObject({ type: z.literal("announce"), member: Member }),
  z.strictObject({
    type: z.literal("leave"),
    memberId: z.string(),
    phase: z.enum(["leaving", "left"]),
  }),
  z.strictObject({
    type: z.literal("suspect"),
    observerId: z.string(),
    memberIds: z.array(z.string()).min(1).max(10_000),
    /**
     * Wall-clock time of the observer, in milliseconds. Only used to discard
     * old suspicions; a wrong clock is harmless.
     */
    timeMs: z.number(),
  }),
  z.strictObject({
    type: z.literal("snapshot"),
    /** The snapshot holds the view after this offset. */
    at: z.int().min(0),
    view: z.json(),
    /**
     * Wall-clock time of the writer, in milliseconds. Only used to tell whether
     * a new snapshot is due.
     */
    timeMs: z.number().optional(),
  }),
]);

export type LogRecord = z.infer<typeof LogRecord>;
