#!/usr/bin/env node
import sade from "sade";
import { AgentProcess } from "../processes/agent_process.ts";
import { runProcess } from "../processes/run_process.ts";

sade("cranberrybank-agent <settings>", true)
  .describe("Runs an agent with a JSON settings file.")
  .action((settingsPath: string) =>
    runProcess({
      role: "agent",
      settingsPath,
      createProcess: (context) => new AgentProcess(context),
    })
  )
  .parse(process.argv);
