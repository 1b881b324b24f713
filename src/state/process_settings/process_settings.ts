import * as z from "zod";

const Port = z.int().min(0).max(65_535);
const Address = z.string().regex(
  /^[0-9.]+:\d+$|^\[[0-9a-f:]+\]:\d+$/,
  "must be an IP address and a port",
);

/** The settings file of an entry or an agent. */
export const ProcessSettings = z.strictObject({
  /** Stays the same over restarts and is unique in the cluster. */
  name: z.string().regex(
    /^[A-Za-z0-9_-]{1,64}$/,
    "must be 1 to 64 letters, digits, _ or -",
  ),
  zone: z.string().regex(
    /^[A-Za-z0-9_-]{1,64}$/,
    "must be 1 to 64 letters, digits, _ or -",
  ),
  rack: z.string().max(64).optional(),
  /** IP address on which the servers listen and other processes reach them. */
  host: z.union([z.ipv4(), z.ipv6()]),
  /** Port of the HTTP server; 0 selects a free one. */
  httpPort: Port,
  /** Port for streams from other processes; 0 selects a free one. */
  peerPort: Port,
  /**
   * Address that other processes use for streams, where it differs from the
   * listening address.
   */
  announcedPeerAddress: Address.optional(),
  /** Address of the platform's log service. */
  logAddress: Address,
  /** Agents only: address of the upstream beside this process. */
  upstreamAddress: Address.optional(),
  /** Agents only: largest number of open connections to the upstream. */
  maxConnections: z.int().min(1).max(1024).default(64),
  /** Memory for requests and unsent responses of all clients, in bytes. */
  requestMemoryBytes: z.int().min(65_536).default(268_435_456),
  /** Largest number of open connections of clients. */
  maxClientConnections: z.int().min(1).default(8_192),
  logLevel: z.enum(["debug", "info", "warn", "error"]).default("info"),
  /**
   * Entries only: a snapshot of the view is appended to the log at least this
   * often, in milliseconds.
   */
  snapshotIntervalMs: z.int().min(1_000).default(300_000),
});

export type ProcessSettings = z.infer<typeof ProcessSettings>;
