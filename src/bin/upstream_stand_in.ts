#!/usr/bin/env node
import sade from "sade";
import { UpstreamBehavior, UpstreamStandIn } from "../stand_in/mod.ts";

interface Options {
  port: number;
  agent?: string;
  services: string;
  slots: number;
  speed: number;
  mode: string;
  starts?: string;
}

sade("cranberrybank-upstream-stand-in", true)
  .describe("Runs a stand-in for a back end. For tests and demos.")
  .option("--port", "Port on 127.0.0.1; 0 takes a free one", 0)
  .option("--agent", "host:port of the agent's HTTP server")
  .option("--services", "Services, separated by commas", "echo")
  .option("--slots", "Tasks that run at one time", 8)
  .option("--speed", "Run times are divided by this", 1)
  .option("--mode", "normal, failing, resetting or hanging", "normal")
  .option("--starts", "File that every task start is appended to")
  .action(async (options: Options) => {
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
