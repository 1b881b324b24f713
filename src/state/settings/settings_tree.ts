import * as z from "zod";
import { Rules } from "./rules.ts";

const Name = z.string().regex(
  /^[A-Za-z0-9_-]{1,64}$/,
  "must be 1 to 64 letters, digits, _ or -",
);
const Availability = z.strictObject({ state: z.enum(["in", "out"]) });
const Job = z.strictObject({ rules: Rules.optional() });
const Service = z.strictObject({
  rules: Rules.optional(),
  jobs: z.record(Name, Job).optional(),
});
const Team = z.strictObject({
  /**
   * Share of the capacity, relative to the customer's other teams or, for a
   * customer, to the other customers.
   */
  weight: z.number().min(0.01).max(1000).optional(),
  /** Tasks that may run at one time. */
  maxRunning: z.int().min(1).optional(),
  /** Tasks that may wait in one entry's queue. */
  maxQueued: z.int().min(1).optional(),
});
const Customer = Team.extend({ teams: z.record(Name, Team).optional() });

/**
 * The operators' tree of settings. Services hold jobs and customers hold teams;
 * a child inherits from its parent unless it states otherwise.
 */
export const SettingsTree = z.strictObject({
  rules: Rules.optional(),
  services: z.record(Name, Service).optional(),
  customers: z.record(Name, Customer).optional(),
  zones: z.record(Name, Availability).optional(),
  upstreams: z.record(Name, Availability).optional(),
  /**
   * Largest number of agents of a zone that serve as homes of idempotency keys.
   */
  homesPerZone: z.int().min(1).max(1024).optional(),
  /** Number of entries that hold a stream to one agent. */
  entriesPerAgent: z.int().min(1).max(1024).optional(),
  placement: z.enum(["credits", "least_loaded", "random"]).optional(),
});

export type SettingsTree = z.infer<typeof SettingsTree>;
