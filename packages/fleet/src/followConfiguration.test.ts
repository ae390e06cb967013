/** Guards against a configuration that counts as in force although applying it threw. */
import { expect, it } from "vitest";
import { Ok, type Ms } from "@stairgauge/common";
import {
  createConfigurationHolder,
  type ConfigurationVersion,
  type FleetConfiguration,
} from "@stairgauge/routing";
import { makeRevision } from "@stairgauge/storefeed";
import { createConfigurationSink } from "./followConfiguration.js";

it("a configuration is announced again, once, if announcing it threw", () => {
  const configuration = {
    version: 1 as ConfigurationVersion,
    routes: [],
    services: [],
    workspaces: [],
  } as unknown as FleetConfiguration;
  const adopted: unknown[] = [];
  let isThrowing = true;
  const sink = createConfigurationSink({
    key: "config",
    holder: createConfigurationHolder({ denyWithin: 1 as Ms, acceptWithin: 1 as Ms }),
    decode: () => Ok(configuration),
    onEvent: (event) => {
      if (isThrowing) throw new Error("odd");
      adopted.push(event);
    },
  });
  const revision = makeRevision(1, 1);
  const rows = [{ key: "config", value: Buffer.of(), revision }];
  expect(() => sink.onWhole(rows, 0 as Ms, revision)).toThrow("odd");
  isThrowing = false;
  sink.onWhole(rows, 0 as Ms, revision);
  sink.onWhole(rows, 0 as Ms, revision);
  expect(adopted).toEqual([{ kind: "adopted", configuration }]);
});
