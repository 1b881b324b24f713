import { expect } from "chai";
import { execFile } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { StoreStandIn } from "../../platform/stand_in/mod.ts";

const ROUTE = {
  ...{ name: "posters", host: "img.example", pathPrefix: "/posters/" },
  ...{ service: "resize", timeoutMs: 900, targetLatencyMs: 80, attempts: 2 },
};
const CONFIG = { version: 7, routes: [ROUTE], services: [{ name: "resize" }] };

interface Run {
  code: number;
  value: {
    findings: { severity: string; path: string; message: string }[];
    differences?: { path: string }[];
    error?: { message: string };
  };
}

describe("the check of a configuration file", () => {
  const folder = mkdtempSync(join(tmpdir(), "cranberrybank-config-"));
  const program = new URL("../../platform/check_config.js", import.meta.url);

  after(() => rmSync(folder, { recursive: true }));

  function writeConfig(name: string, content: unknown): string {
    const path = join(folder, name);
    const text = typeof content === "string"
      ? content
      : JSON.stringify(content);
    writeFileSync(path, text);
    return path;
  }

  function run(content: unknown, ...flags: string[]): Promise<Run> {
    const path = writeConfig("next.json", content);
    const args = [program.pathname, path, "--json", ...flags];
    return new Promise((resolve) => {
      execFile(process.execPath, args, (error, stdout) => {
        const code = typeof error?.code === "number" ? error.code : 0;
        resolve({ code, value: JSON.parse(stdout) });
      });
    });
  }

  it("passes a sound file, and names what differs from the version in force", async () => {
    // Guards against findings or differences where there are none.
    const inForce = writeConfig("in_force.json", CONFIG);
    const same = await run(CONFIG, "--strict", "--in-force", inForce);
    expect(same).to.deep.equal({
      code: 0,
      value: { status: "ok", findings: [], differences: [] },
    });
    const next = { ...CONFIG, version: 8, limits: { maxBodyBytes: 9_000 } };
    const { code, value } = await run(next, "--in-force", inForce);
    expect(code).to.equal(0);
    expect(value.differences?.map(({ path }) => path))
      .to.deep.equal(["version", "limits"]);
  });

  it("reads the version in force from the store, and refuses one that is not above it", async () => {
    // Guards against a version that all processes ignore.
    const store = new StoreStandIn();
    const address = await store.start();
    try {
      store.publish("config", JSON.stringify(CONFIG));
      const next = { ...CONFIG, services: [] };
      const { code, value } = await run(next, "--store", address);
      expect(code).to.equal(2);
      expect(value.findings.map(({ path }) => path))
        .to.deep.equal(["version", "routes.0.service"]);
    } finally {
      store.stop();
    }
  });

  it("reports all invalid fields by their paths", async () => {
    // Guards against an operator who mends one error only to meet the next one.
    const { pathPrefix: _, ...route } = ROUTE;
    const { code, value } = await run({
      version: 8,
      routes: [{ ...route, stretch: 0.5, pathprefix: "/" }],
      limits: { maxBodyBytes: "9k" },
    });
    expect(code).to.equal(2);
    expect(value.findings.map(({ path }) => path)).to.deep.equal([
      ...["routes.0.pathPrefix", "routes.0.stretch", "limits.maxBodyBytes"],
      "routes.0.pathprefix",
    ]);
  });

  it("names fields as the file does, and fails a strict check for warnings", async () => {
    // Guards against a path that the operator doesn't find in the file.
    const limits = { maxHeaderBytes: 9_000, maxBodyBytes: 8_000 };
    const warned = await run({ ...CONFIG, limits }, "--strict");
    expect(warned.code).to.equal(1);
    const wrong = { ...ROUTE, targetLatencyMs: -5 };
    const { value } = await run({ ...CONFIG, routes: [wrong] });
    expect(value.findings[0]?.path).to.equal("routes.0.targetLatencyMs");
    const memory = await run(CONFIG, "--request-memory", "9000");
    expect(memory.value.findings[0]?.path).to.equal("limits.maxBodyBytes");
  });

  it("refuses files that can't be read or are no configuration", async () => {
    // Guards against a script that goes on after a check that checked nothing.
    const inForce = writeConfig("in_force.json", CONFIG);
    const nested = "[".repeat(5_000) + "]".repeat(5_000);
    for (const content of ["{", "null", "[]", "3", nested]) {
      const { code, value } = await run(content, "--in-force", inForce);
      expect(code, content.slice(0, 5)).to.equal(2);
      expect(value.findings, content.slice(0, 5)).to.have.length.above(0);
    }
    const missing = await run(CONFIG, "--in-force", join(folder, "none.json"));
    expect(missing.code).to.equal(2);
    expect(missing.value.error?.message).to.contain("none.json");
  });
});
