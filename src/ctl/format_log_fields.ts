/**
 * Formats the fields of a log line about a job, without the job's id.
 * @param fields - The fields that are not shown elsewhere.
 * @param jobId - Id of the job.
 */
export function formatLogFields(
  fields: Readonly<Record<string, unknown>>,
  jobId: string,
): string {
  return Object.entries(fields)
    .filter(([name]) => name !== "job")
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`)
    .join(" ")
    .replaceAll(`${jobId}.`, "");
}
