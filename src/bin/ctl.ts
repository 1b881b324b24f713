#!/usr/bin/env node
import sade from "sade";
import { explainJob } from "../ctl/explain_job.ts";
import { applySettings } from "../ctl/apply_settings.ts";
import { checkEdits } from "../ctl/check_edits.ts";
import { createErrorResult } from "../ctl/create_error_result.ts";
import type { CtlFlags } from "../ctl/ctl_flags.ts";
import { explainOverlaps } from "../ctl/overlaps/mod.ts";
import type { PublishFlags } from "../ctl/publish_flags.ts";
import { getSettings } from "../ctl/get_settings.ts";
import { readEditsFile } from "../ctl/read_edits_file.ts";
import { readLogTexts } from "../ctl/read_log_texts.ts";
import { readStatus } from "../ctl/read_status.ts";
import { readTimeline } from "../ctl/read_timeline.ts";
import { removeSettings } from "../ctl/remove_settings.ts";
import { runCommand } from "../ctl/run_command.ts";
import { sendCancel } from "../ctl/send_cancel.ts";
import { sendSubmission } from "../ctl/send_submission.ts";
import { writeCommandResult } from "../ctl/write_command_result.ts";
import { setAvailability } from "../ctl/set_availability.ts";
import { setSettings } from "../ctl/set_settings.ts";
import type { SubmitFlags } from "../ctl/submit_flags.ts";

// With an empty string as the default, the parser keeps values as strings;
// otherwise a key that consists of digits would become a number.
const program = sade("cranberrybank-ctl")
  .option("--log", "host:port of the log service", "")
  .option("--settings", "JSON file with logAddress and operator", "")
  .option("--operator", "Name recorded as the publisher of changes", "")
  .option(
    "--timeout",
    "Seconds after which a command stops retrying the log",
    "30",
  )
  .option("--json", "Prints one JSON object", false);

program.command("settings get [path]", "Prints the settings in force")
  .option("--resolved", "service or service/job: rules after inheritance", "")
  .action((path: string | undefined, flags: CtlFlags & { resolved: string }) =>
    runCommand(flags, (context) =>
      getSettings(context, {
        ...(path === undefined ? {} : { path }),
        resolved: flags.resolved,
      }))
  );

addPublishOptions(program.command("settings set <path> <json>", "Sets a value"))
  .action((path: string, json: string, flags: PublishFlags) =>
    runCommand(flags, (context) => setSettings(context, { path, json }, flags))
  );

addPublishOptions(
  program.command("settings apply <file>", "Applies several edits at once"),
).action((file: string, flags: PublishFlags) =>
  runCommand(flags, (context) => applySettings(context, file, flags))
);

addStrictOption(
  program.command(
    "settings check <file>",
    "Checks the edits of a file without applying them",
  ),
).action((file: string, flags: CtlFlags & { strict: boolean }) =>
  runCommand(flags, (context) =>
    readEditsFile(file).match(
      (edits) => checkEdits(context, edits, flags),
      (error) => createErrorResult(error),
    ))
);

addPublishOptions(
  program.command("settings remove <path>", "Removes a value"),
).action((path: string, flags: PublishFlags) =>
  runCommand(flags, (context) => removeSettings(context, path, flags))
);

for (const kind of ["zone", "upstream"] as const) {
  addPublishOptions(
    program.command(
      `${kind} <state> <name>`,
      `Takes one ${kind} out of service or back in`,
    ),
  ).option("--force", "Accepts a name that no live member has", false)
    .action((
      state: string,
      name: string,
      flags: PublishFlags & { force: boolean },
    ) =>
      runCommand(
        flags,
        (context) =>
          setAvailability(
            context,
            { kind, state, name, force: flags.force },
            flags,
          ),
      )
    );
}

addProcessOption(
  program.command("status", "Prints members, zones and revisions in force"),
).action((flags: CtlFlags) => runCommand(flags, readStatus));

addSubmitOptions(program.command("submit [file]", "Submits a job or a request"))
  .option("--service", "Service of a single request", "")
  .option("--body", "Body of a single request", "")
  .option("--repeatable", "The single request may run more than once", false)
  .action((file: string | undefined, flags: SubmitFlags) =>
    runCommand(flags, (context) => sendSubmission(context, file, flags))
  );

addSubmitOptions(program.command("cancel <key>", "Cancels a submission"))
  .action((key: string, flags: SubmitFlags) =>
    runCommand(flags, (context) => sendCancel(context, key, flags))
  );

addSubmitOptions(program.command("timeline <key>", "Prints a key's events"))
  .action((key: string, flags: SubmitFlags) =>
    runCommand(flags, (context) => readTimeline(context, key, flags))
  );

program.command("explain <job>", "Prints a timeline of a job from log files")
  .example("explain 5c0e7a21d94b36f8 entry-1.log agent-*.log")
  .action((jobId: string, flags: CtlFlags & { _: string[] }) => {
    const result = readLogTexts(flags._).match(
      (texts) => explainJob(texts, jobId),
      (error) => createErrorResult(error),
    );
    writeCommandResult(result, flags);
  });

program.command("overlaps <path>", "Finds tasks that had two runs at a time")
  .option(
    "--tolerance",
    "Milliseconds by which the clocks of machines may differ",
    "5",
  )
  .example("overlaps logs")
  .example("overlaps entry-1.log agent-*.log --tolerance 20")
  .action((
    path: string,
    flags: CtlFlags & { _: string[]; tolerance: string },
  ) => {
    const result = readLogTexts([path, ...flags._]).match(
      (texts) =>
        explainOverlaps(texts, { toleranceMs: Number(flags.tolerance) }),
      (error) => createErrorResult(error),
    );
    writeCommandResult(result, flags);
  });

program.parse(process.argv);

function addPublishOptions(command: sade.Sade): sade.Sade {
  return command
    .option("--base", "Revision that the change is based on", "")
    .option("--change-id", "Id of a change whose outcome is unknown", "");
}

function addStrictOption(command: sade.Sade): sade.Sade {
  return command.option(
    "--strict",
    "Exits with 1 if there are warnings",
    false,
  );
}

function addProcessOption(command: sade.Sade): sade.Sade {
  const text = "host:port of a process to ask for members instead of the log";
  return command.option("--process", text, "");
}

function addSubmitOptions(command: sade.Sade): sade.Sade {
  return addProcessOption(command)
    .option("--key", "Idempotency key", "")
    .option("--customer", "Customer of the submission", "default")
    .option("--team", "Team of the customer", "");
}
