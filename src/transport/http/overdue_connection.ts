/** A connection that is held up, and where. */
export interface OverdueConnection<T> {
  readonly connection: T;
  readonly activity: "header" | "body" | "unread";
}
