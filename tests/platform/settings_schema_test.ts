import { expect } from "chai";
import { SettingsSchema } from "../../platform/settings_schema.ts";
import { createSchemaError } from "../../src/state/errors/mod.ts";

describe("the settings of an entry", () => {
  const SETTINGS = {
    ...{ name: "entry-1", zone: "a", storeAddress: "127.0.0.1:1" },
    ...{ metricsPort: 2, jobAddress: "127.0.0.1:3" },
    ...{ readyAddress: "127.0.0.1:4", farFactor: 1 },
  };

  it("leave the intake in order of arrival by default, and refuse an unknown value with its path", () => {
    // Guards against a typing error that leaves the order on or off unnoticed.
    expect(SettingsSchema.entry.parse(SETTINGS).intake).to.equal("arrival");
    const parsed = SettingsSchema.entry.safeParse({ ...SETTINGS, intake: "x" });
    const { message } = createSchemaError(
      "invalid_settings",
      parsed.error as NonNullable<typeof parsed.error>,
    );
    expect(message).to.contain("intake");
  });
});
