import type { EntrySession } from "./entry_session.ts";

/** The open streams of an agent, one for each entry. */
export class SessionTable {
  readonly #sessions = new Map<string, EntrySession>();
  /** Time of the last heartbeat of entries whose stream has closed. */
  readonly #lastHeard = new Map<string, number>();

  /** Gets all sessions. */
  getAll(): EntrySession[] {
    return [...this.#sessions.values()];
  }

  /** Adds a session; an older one of the same entry is closed. */
  add(session: EntrySession): void {
    this.#sessions.get(session.entryId)?.close();
    this.#sessions.set(session.entryId, session);
  }

  /** Removes a session. Returns false when a newer one has replaced it. */
  remove(session: EntrySession): boolean {
    if (this.#sessions.get(session.entryId) !== session) {
      return false;
    }
    if (session.hasHeartbeats) {
      const heardAt = performance.now() - session.getSilenceMs();
      this.#lastHeard.set(session.entryId, heardAt);
    }
    return this.#sessions.delete(session.entryId);
  }

  /**
   * Gets the entries that had a stream here and the time since their last
   * heartbeat, in milliseconds.
   */
  getSilences(): { memberId: string; silenceMs: number }[] {
    const now = performance.now();
    const closed = [...this.#lastHeard].filter(([id]) =>
      !this.#sessions.has(id)
    );
    return [
      ...this.getAll().filter((session) => session.hasHeartbeats).map((
        session,
      ) => ({
        memberId: session.entryId,
        silenceMs: session.getSilenceMs(),
      })),
      ...closed.map(([memberId, time]) => ({
        memberId,
        silenceMs: now - time,
      })),
    ];
  }

  /** Forgets an entry that has left or was removed. */
  forgetEntry(entryId: string): void {
    this.#lastHeard.delete(entryId);
  }

  /** Removes and closes the session of an entry. */
  closeSession(entryId: string): void {
    this.#sessions.get(entryId)?.close();
  }
}
