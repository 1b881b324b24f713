import { expect } from "chai";
import { RefusalRecorder } from "../../src/processes/refusal_recorder.ts";
import { Metrics } from "../../src/state/metrics/mod.ts";

describe("RefusalRecorder", () => {
  it("counts each refusal, and writes a line a second for each cause", () => {
    // Guards against a crowd that makes the process spend its time on log lines.
    const lines: unknown[] = [];
    const metrics = new Metrics();
    let now = 0;
    const recorder = new RefusalRecorder({
      ...{ server: "jobs", metrics, getTime: () => now },
      log: {
        record: (_event, { cause, count } = {}) => lines.push([cause, count]),
      },
    });
    for (let n = 0; n < 1_000; n++) {
      now = n;
      recorder.record("memory", "127.0.0.1");
    }
    recorder.record("body_size", "127.0.0.1");
    now = 1_000;
    recorder.record("memory", "127.0.0.1");
    expect(lines).to.deep.equal([
      ...[["memory", 1], ["body_size", 1], ["memory", 1_000]],
    ]);
    expect(metrics.format()).to.include(
      'cranberrybank_http_refusals_total{server="jobs",cause="memory"} 1001',
    );
  });
});
