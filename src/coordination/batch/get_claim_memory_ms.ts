import { BATCH_LIMITS } from "./batch_limits.ts";
import { getRunExpiryMs } from "./get_run_expiry_ms.ts";

/**
 * Gets the time after the start of an agent's process from which on it knows of each
 * job that has it as a home, in milliseconds. By then an entry that had claimed a job
 * at the former process has noticed its end and claimed the job elsewhere, or stands
 * still and has no runs any more.
 */
export function getClaimMemoryMs(): number {
  return BATCH_LIMITS.agentTimeoutMs + getRunExpiryMs();
}
