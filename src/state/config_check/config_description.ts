import type { Route } from "../batch/mod.ts";

/** What a configuration says about routes, services and limits. */
export interface ConfigDescription {
  readonly routes: readonly Route[];
  /** Names of the services that the configuration lists; undefined if it lists none. */
  readonly services: readonly string[] | undefined;
  readonly limits: {
    /** Largest body of a request, in bytes. */
    readonly maxBodyBytes: number;
    /** Largest request line and headers of a request, in bytes. */
    readonly maxHeaderBytes: number | undefined;
    /** Longest time until the end of a request's headers, in milliseconds. */
    readonly headerTimeoutMs: number | undefined;
    /** Longest time between two parts of a request's body, in milliseconds. */
    readonly idleTimeoutMs: number | undefined;
    /** Memory of a process for the requests of all connections, in bytes. */
    readonly requestMemoryBytes: number | undefined;
  };
}
