#!/usr/bin/env node
import sade from "sade";
import { LogStandIn } from "../stand_in/mod.ts";

interface LogStandInFlags {
  port: number;
  retained: number;
  appends: number;
}

sade("cranberrybank-log-stand-in", true)
  .describe(
    "Runs an in-memory stand-in for the platform's log service. For tests and demos.",
  )
  .option("--port", "Port on 127.0.0.1; 0 selects a free one", 0)
  .option("--retained", "Maximum number of records kept", 100_000)
  .option("--appends", "Maximum number of appends accepted per second", 500)
  .action(async (options: LogStandInFlags) => {
    const standIn = new LogStandIn({
      port: options.port,
      retainedRecords: options.retained,
      appendsPerSecond: options.appends,
    });
    console.log(JSON.stringify({ port: await standIn.start() }));
    process.on("SIGTERM", () => {
      standIn.stop();
      process.exit(0);
    });
  })
  .parse(process.argv);
