#!/usr/bin/env node
import sade from "sade";
import {
  CLUSTER_SHAPES,
  formatLoadReport,
  LOAD_SCENARIOS,
  publishZoneState,
  runLoad,
} from "../load/mod.ts";

interface LoadFlags {
  entries: string;
  agents?: string;
  log?: string;
  shape: string;
  seed: number;
  placement: string;
  json: boolean;
}

sade("cranberrybank-load <scenario>", true)
  .describe(
    `Runs a load scenario against a running cluster: ${
      Object.keys(LOAD_SCENARIOS).join(", ")
    }. The cluster offers the services and customers of the load tool.`,
  )
  .option("--entries", "host:port of each entry, separated by commas")
  .option("--agents", "host:port of each agent, whose counters are read")
  .option("--log", "host:port of the log service, for zone changes")
  .option("--shape", "groupement or direccion", "groupement")
  .option("--seed", "Seed of the arrivals and run times", 1)
  .option("--placement", "Placement policy in force, for the report", "unknown")
  .option("--json", "Print JSON instead of text", false)
  .action(async (name: string, options: LoadFlags) => {
    const scenario = LOAD_SCENARIOS[name];
    const shape = Object.values(CLUSTER_SHAPES).find((shape) =>
      shape.name === options.shape
    );
    if (scenario === undefined || shape === undefined || !options.entries) {
      console.error("unknown scenario or shape, or no --entries");
      process.exit(2);
    }
    const report = await runLoad({
      scenario,
      shape,
      seed: options.seed,
      placement: options.placement,
      entryAddresses: options.entries.split(","),
      agentAddresses: options.agents?.split(",") ?? [],
      applyEvent: async (event) => {
        if (event.type === "zone" && options.log !== undefined) {
          const id = `load-${Date.now()}-${event.state}`;
          await publishZoneState(options.log, event, { id });
        } else {
          console.error(`event not applied: ${JSON.stringify(event)}`);
        }
      },
    });
    console.log(
      options.json ? JSON.stringify(report) : formatLoadReport(report),
    );
  })
  .parse(process.argv);
