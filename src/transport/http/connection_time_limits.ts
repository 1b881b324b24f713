/** Limits in numbers of checks. */
export interface ConnectionTimeLimits {
  readonly header: number;
  readonly bodyIdle: number;
  readonly body: number;
  readonly unread: number;
}
