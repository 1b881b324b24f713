import type { SettingsTree } from "../../state/settings/mod.ts";
import type { Submission } from "./submission.ts";

/**
 * Gets the key under which the run times of a submission's tasks are recorded.
 * Callers can choose any job name, so only jobs that the settings list get a
 * key of their own.
 */
export function getRunTimeKey(
  settings: SettingsTree,
  submission: Pick<Submission, "service" | "job">,
): string {
  const { service, job } = submission;
  return job !== undefined &&
      settings.services?.[service]?.jobs?.[job] !== undefined
    ? `${service}/${job}`
    : service;
}
