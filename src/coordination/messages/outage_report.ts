/** A report that a member of a zone can't reach the log. */
export interface OutageReport {
  zone: string;
  /** Age of the report when the message was created, in milliseconds. */
  ageMs: number;
}
