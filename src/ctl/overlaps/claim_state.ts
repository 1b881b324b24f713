/**
 * What the log says about the claim of a job when one of its runs started.
 *
 * `granted`: all agents had granted it to the entry of the run.
 * `held`: an agent had told the entry that another entry holds it.
 * `superseded`: an agent had stopped the entry's job for another entry.
 * `not_logged`: no line; the entry placed the job without a claim, or all agents
 * granted it within 20 ms.
 */
export type ClaimState = "granted" | "held" | "superseded" | "not_logged";
