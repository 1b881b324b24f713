import type { SettingsTree } from "../../state/settings/mod.ts";
import type { Submission } from "./submission.ts";

/**
 * Gets the name under which the run times of a submission's tasks are learned.
 * Callers choose the names of jobs, so only those of the settings are learned
 * apart.
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
