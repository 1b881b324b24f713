import * as z from "zod";

/**
 * One incarnation of an entry or an agent. A restarted process is a new member:
 * its id carries a random suffix made at start.
 */
export const Member = z.strictObject({
  id: z.string().min(1).max(128),
  /** Name from the process's settings file; stays the same over restarts. */
  name: z.string().min(1).max(96),
  role: z.enum(["entry", "agent"]),
  /**
   * Id of the process, the same for all of its incarnations. A process keeps
   * its start records when it joins again as another member.
   */
  processId: z.string().max(64).optional(),
  zone: z.string().min(1).max(64),
  rack: z.string().max(64).optional(),
  /** `host:port` of the server for streams from other processes. */
  peerAddress: z.string(),
  /** `host:port` of the HTTP server. */
  httpAddress: z.string(),
  /** Services that the agent's upstream offers; empty for entries. */
  services: z.array(z.string()).max(256),
  /** Number of tasks that the upstream runs at one time; 0 for entries. */
  slots: z.int().min(0).max(4096),
});

export type Member = z.infer<typeof Member>;
