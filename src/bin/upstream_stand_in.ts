#!/usr/bin/env node
import sade from "sade";
import { UpstreamBehavior, UpstreamStandIn } from "../stand_in/mod.ts";

interface UpstreamStandInFlags {
  port: number;
  agent?: string;
  services: string;
  slots: number;
  speed: number;
  mode: string;
  starts?: string;
}

sade("cranberrybank-upstream-stand-in", true)
  .describe("Runs a stand-in for an upstream. For tests and demos.")
  .option("--port", "Port on 127.0.0.1; 0 selects a free one", 0)
  .option("--agent", "host:port of the agent's HTTP server")
  .option("--services", "Services, separated by commas", "echo")
  .option(
    "--slots",
    "Maximum number of tasks that run at the same time",
    8,
  )
  .option("--speed", "Factor that run times are divided by", 1)
  .option("--mode", "normal, failing, resetting or hanging", "normal")
  .option("--starts", "File to which every task start is appended")
  .action(async (options: UpstreamStandInFlags) => {
    const standIn = new UpstreamStandIn({
      port: options.port,
      agentAddress: options.agent,
      services: options.services.split(","),
      slots: options.slots,
      startsPath: options.starts,
      behavior: UpstreamBehavior.parse({
        speed: options.speed,
        mode: options.mode,
      }),
    });
    console.log(JSON.stringify({ port: await standIn.start() }));
    process.on("SIGTERM", () => {
      standIn.stop();
      process.exit(0);
    });
  })
  .parse(process.argv);
