#!/usr/bin/env node
import sade from "sade";
import { LogStandIn } from "../stand_in/mod.ts";

interface Options {
  port: number;
  retained: number;
  appends: number;
}

sade("cranberrybank-log-stand-in", true)
  .describe(
    "Runs an in-memory stand-in for the platform's log service. For tests and demos.",
  )
  .option("--port", "Port on 127.0.0.1; 0 takes a free one", 0)
  .option("--retained", "Records that are kept", 100_000)
  .option("--appends", "Appends accepted in a second", 500)
  .action(async (options: Options) => {
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
