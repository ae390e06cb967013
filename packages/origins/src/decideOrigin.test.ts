/** Guards against a guess of the software version that began a stream. */
import { describe, expect, it } from "vitest";
import type { BoxName, Ms, ServiceName } from "@stairgauge/common";
import type { SoftwareVersion } from "@stairgauge/directory";
import { decideOrigin, type OriginInputs } from "./decideOrigin.js";
import type { StreamKey } from "./types.js";

const SERVICE = "writers" as ServiceName;
const V1 = "v1" as SoftwareVersion;
const V2 = "v1.2" as SoftwareVersion;

const decide = (changes: Partial<OriginInputs>) =>
  decideOrigin({
    found: { kind: "not_known", answered: 2 },
    service: SERVICE,
    versions: new Set([V1]),
    isOutOfTouch: false,
    boxes: 3,
    ...changes,
  });

const makeKnown = (softwareVersion: SoftwareVersion | undefined, by?: string) =>
  ({
    kind: "known",
    origin: {
      key: "k" as StreamKey,
      binding: { service: SERVICE, softwareVersion },
      left: 1_000 as Ms,
    },
    by: by as BoxName | undefined,
  }) as const;

describe("decideOrigin", () => {
  it("uses a record, also without the store and with several versions", () => {
    const versions = new Set([V1, V2]);
    const decided = decide({ found: makeKnown(V2), versions, isOutOfTouch: true });
    expect(decided).toMatchObject({
      kind: "bound",
      binding: { softwareVersion: V2 },
      source: { kind: "on_record" },
    });
    expect(decide({ found: makeKnown(V2, "box-2") })).toMatchObject({
      source: { kind: "asked", by: "box-2" },
    });
  });

  it("uses the only version without a record", () => {
    expect(decide({})).toMatchObject({
      kind: "bound",
      binding: { service: SERVICE, softwareVersion: V1 },
      source: { kind: "only_version" },
    });
    const alone = { found: { kind: "not_known", answered: 0 }, boxes: 1 } as const;
    expect(decide(alone).kind).toBe("bound");
  });

  it.each<[string, Partial<OriginInputs>, boolean]>([
    ["several versions", { versions: new Set([V1, V2]) }, false],
    ["no version", { versions: new Set() }, false],
    ["servers that state none", { versions: new Set([undefined]) }, false],
    ["versions of which it can't be sure", { versions: undefined }, false],
    ["a record that is not certain", { found: makeKnown(undefined) }, false],
    ["the store lost", { isOutOfTouch: true }, true],
    ["all other boxes lost", { found: { kind: "not_known", answered: 0 } }, true],
  ])("guesses nothing with %s", (_, changes, isCutOff) => {
    expect(decide(changes)).toEqual({ kind: "not_known", isCutOff });
  });
});
