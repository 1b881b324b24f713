#!/usr/bin/env node
import sade from "sade";
import { EntryProcess } from "../processes/entry_process.ts";
import { runProcess } from "../processes/run_process.ts";

sade("cranberrybank-entry <settings>", true)
  .describe("Runs an entry with a JSON settings file.")
  .action((settingsPath: string) =>
    runProcess({
      role: "entry",
      settingsPath,
      createProcess: (context) => new EntryProcess(context),
    })
  )
  .parse(process.argv);
