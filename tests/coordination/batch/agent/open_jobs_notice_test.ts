import { expect } from "chai";
import { OpenJobsNotice } from "../../../../src/coordination/batch/agent/open_jobs_notice.ts";

describe("OpenJobsNotice", () => {
  let notice: OpenJobsNotice;

  beforeEach(() => {
    notice = new OpenJobsNotice();
    expect(notice.update(["a", "b"], 0)).to.equal(true);
  });

  it("tells nothing again while nothing changes", () => {
    expect(notice.update(["b", "a"], 10_000)).to.equal(false);
  });

  it("tells at once of a new job, also when another one has ended", () => {
    expect(notice.update(["a", "c"], 1)).to.equal(true);
  });

  it("tells at once of the end of a job that the entry has had stopped", () => {
    // Guards against a client that waits for the ends of other jobs.
    notice.recordStop("a");
    expect(notice.update(["a"], 1)).to.equal(false);
    expect(notice.update(["b"], 2)).to.equal(true);
    expect(notice.update([], 3)).to.equal(false);
  });

  it("tells of other ends with a delay", () => {
    expect(notice.update(["a"], 499)).to.equal(false);
    expect(notice.update([], 500)).to.equal(true);
  });

  it("does not keep the stop of a job that the entry was not told of", () => {
    notice.recordStop("c");
    expect(notice.update(["a"], 1)).to.equal(false);
  });
});
