import * as z from "zod";
import { SettingsTree } from "../settings/mod.ts";

/**
 * The part of a snapshot that holds the settings, with the revisions and
 * outcomes that are needed to judge later changes.
 */
export const SettingsSnapshot = z.strictObject({
  tree: SettingsTree,
  revision: z.int().min(0),
  pathRevisions: z.record(z.string(), z.int()),
  /** Ids of recent changes and their outcomes, oldest first. */
  outcomes: z.array(z.tuple([z.string(), z.any()])),
});

export type SettingsSnapshot = z.infer<typeof SettingsSnapshot>;
