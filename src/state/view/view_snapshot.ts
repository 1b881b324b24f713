import * as z from "zod";
import { MembersSnapshot } from "./members_snapshot.ts";
import { SettingsSnapshot } from "./settings_snapshot.ts";

/** The whole view after one offset, as a snapshot record carries it. */
export const ViewSnapshot = z.strictObject({
  offset: z.int().min(0),
  settings: SettingsSnapshot,
  members: MembersSnapshot,
});

export type ViewSnapshot = z.infer<typeof ViewSnapshot>;
