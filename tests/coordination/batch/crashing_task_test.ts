import { expect } from "chai";
import { BatchCluster } from "../../lib/batch_cluster.ts";
import { createBatchStep } from "../../lib/create_batch_step.ts";
import { waitUntil } from "../../lib/wait_until.ts";

const CRASHING_JOB = "00000000000000aa";
const CRASHING_TASK = `${CRASHING_JOB}.0.0.0`;
const SOUND_JOB = "00000000000000bb";

/** Crashes under a task after which the users allow to give it up. */
const MAX_CRASHES = 2;

describe("a task that crashes its workers", () => {
  let cluster: BatchCluster;

  beforeEach(async () => {
    cluster = new BatchCluster({ agents: 6 });
    await cluster.start();
    cluster.crashingTasks.add(CRASHING_TASK);
  });

  afterEach(() => cluster.stop());

  it("is given up after two crashes and takes down no further worker", async () => {
    const job = cluster.submitJob(CRASHING_JOB, [
      createBatchStep({ count: 2 }),
    ]);
    await waitUntil(() => job.answer !== undefined, "the job is answered");
    expect(cluster.countStarts(CRASHING_TASK)).to.equal(MAX_CRASHES);
    expect(job.answer).to.deep.equal({ kind: "failed" });
  });

  it("does not fail the tasks that were running beside it", async () => {
    const job = cluster.submitJob(SOUND_JOB, [
      createBatchStep({ count: 12, expectedMs: 300 }),
    ]);
    cluster.submitJob(CRASHING_JOB, [createBatchStep()]);
    await waitUntil(() => job.answer !== undefined, "the job is answered");
    expect(job.answer).to.deep.equal({ kind: "completed" });
  });

  it("is not started again when its job is submitted again", async () => {
    const job = cluster.submitJob(CRASHING_JOB, [createBatchStep()]);
    await waitUntil(() => job.answer !== undefined, "the job is answered");
    const again = cluster.submitJob(CRASHING_JOB, [createBatchStep()]);
    await waitUntil(() => again.answer !== undefined, "it is answered again");
    expect(cluster.countStarts(CRASHING_TASK)).to.equal(MAX_CRASHES);
    expect(again.answer).to.deep.equal({ kind: "failed" });
  });
});
