import { expect } from "chai";
import { AnnouncementSchedule } from "../../../../src/coordination/batch/directory/mod.ts";

describe("AnnouncementSchedule", () => {
  function createSchedule(): AnnouncementSchedule {
    const schedule = new AnnouncementSchedule({ getRandom: () => 0.5 });
    schedule.recordAnnouncement(0);
    return schedule;
  }

  it("announces an agent again when an entry asks for it, at most every 5 s", () => {
    const schedule = createSchedule();
    expect(schedule.isDue(60_000, 1)).to.equal(false);
    schedule.request();
    expect(schedule.isDue(60_000, 1)).to.equal(true);
    schedule.recordAnnouncement(60_000);
    schedule.request();
    expect(schedule.isDue(64_000, 1)).to.equal(false);
    expect(schedule.isDue(65_000, 1)).to.equal(true);
  });

  it("announces an agent again that no entry finds, less and less often", () => {
    const schedule = createSchedule();
    const announcedAt: number[] = [];
    for (let now = 0; now < 300_000; now += 50) {
      if (schedule.isDue(now, 0)) {
        announcedAt.push(now);
        schedule.recordAnnouncement(now);
      }
    }
    expect(announcedAt.slice(0, 6)).to.deep.equal(
      [5_000, 15_000, 35_000, 75_000, 135_000, 195_000],
    );
    expect(schedule.isDue(300_000, 1)).to.equal(false);
    expect(schedule.isDue(301_000, 0)).to.equal(false);
    expect(schedule.isDue(306_000, 0)).to.equal(true);
  });
});
