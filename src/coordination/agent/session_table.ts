import type { EntrySession } from "./entry_session.ts";

/** The open sessions of an agent, one for each entry. */
export class SessionTable {
  readonly #sessions = new Map<string, EntrySession>();
  /**
   * Local time of the last heartbeat of each entry whose stream has closed, in
   * milliseconds.
   */
  readonly #lastHeartbeatAt = new Map<string, number>();

  /** Gets all sessions. */
  getAll(): EntrySession[] {
    return [...this.#sessions.values()];
  }

  /** Adds a session, and closes an older one of the same entry. */
  add(session: EntrySession): void {
    this.#sessions.get(session.entryId)?.close();
    this.#sessions.set(session.entryId, session);
  }

  /** Removes a session. Returns false if a newer one has replaced it. */
  remove(session: EntrySession): boolean {
    if (this.#sessions.get(session.entryId) !== session) {
      return false;
    }
    if (session.hasHeartbeats) {
      const heartbeatAt = performance.now() - session.getHeartbeatAgeMs();
      this.#lastHeartbeatAt.set(session.entryId, heartbeatAt);
    }
    return this.#sessions.delete(session.entryId);
  }

  /**
   * Gets each entry that has or had a stream with heartbeats to this agent,
   * with the time since its last heartbeat in milliseconds.
   */
  getHeartbeatAges(): { memberId: string; heartbeatAgeMs: number }[] {
    const now = performance.now();
    const closed = [...this.#lastHeartbeatAt].filter(([id]) =>
      !this.#sessions.has(id)
    );
    return [
      ...this.getAll().filter((session) => session.hasHeartbeats).map((
        session,
      ) => ({
        memberId: session.entryId,
        heartbeatAgeMs: session.getHeartbeatAgeMs(),
      })),
      ...closed.map(([memberId, heartbeatAt]) => ({
        memberId,
        heartbeatAgeMs: now - heartbeatAt,
      })),
    ];
  }

  /** Drops the heartbeat time of an entry that has left or was removed. */
  removeHeartbeatTime(entryId: string): void {
    this.#lastHeartbeatAt.delete(entryId);
  }

  /** Closes the session of an entry. */
  closeSession(entryId: string): void {
    this.#sessions.get(entryId)?.close();
  }
}
