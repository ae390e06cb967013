/** The origins of streams in messages, between boxes of different releases. */
import { describe, expect, it } from "vitest";
import type { BoxName, Ms, ServiceName } from "@stairgauge/common";
import type { ServerId, SoftwareVersion } from "@stairgauge/directory";
import type { SharedOrigin, StreamKey } from "@stairgauge/origins";
import type { PlaceQuestion } from "@stairgauge/placement";
import { decodePlaceQuestion, encodePlaceQuestion } from "./adviceCodec.js";
import { makeRunUpdate } from "./makeRunUpdate.js";
import {
  decodeOriginAnswer,
  decodeOriginQuestion,
  encodeOriginAnswer,
  encodeOriginQuestion,
  encodeOrigins,
} from "./originCodec.js";
import { decodeUpdate, encodeUpdate } from "./updateCodec.js";

const KEY = "AAAAAAAAAAAAAAAAAAAAAA" as StreamKey;
const BINDING = {
  service: "writers" as ServiceName,
  softwareVersion: "v1.2" as SoftwareVersion,
};
const ORIGIN: SharedOrigin = { key: KEY, binding: BINDING, left: 49_000 as Ms };
const UNCERTAIN: SharedOrigin = {
  ...ORIGIN,
  binding: { ...BINDING, softwareVersion: undefined },
};
const BOX = "b" as BoxName;

const toBytes = (value: unknown) => Buffer.from(JSON.stringify(value));

describe("the origins of streams in messages", () => {
  it("arrive as they were sent, also one that is not certain", () => {
    const update = makeRunUpdate(BOX, { origins: [ORIGIN, UNCERTAIN] });
    expect(decodeUpdate(encodeUpdate(update))).toEqual(update);
    for (const origin of [ORIGIN, UNCERTAIN]) {
      const answer = { kind: "known", origin } as const;
      expect(decodeOriginAnswer(encodeOriginAnswer(answer))).toEqual(answer);
    }
    const unknown = { kind: "not_known" } as const;
    expect(decodeOriginAnswer(encodeOriginAnswer(unknown))).toEqual(unknown);
    expect(decodeOriginQuestion(encodeOriginQuestion({ key: KEY }))).toEqual({
      key: KEY,
    });
  });

  it("take up to 70 bytes of an update each", () => {
    const measure = (origins: readonly SharedOrigin[]) =>
      encodeUpdate(makeRunUpdate(BOX, { origins })).length;
    expect(measure([ORIGIN]) - measure([])).toBeLessThanOrEqual(70);
  });

  it("may be missing in updates of earlier releases", () => {
    const update = decodeUpdate(
      toBytes({ box: BOX, whole: false, put: [], drop: [], leaving: [] }),
    );
    expect(update.origins).toBeUndefined();
  });

  it.each([
    ["a key of another length", ["AAAA", "writers", "v1", 1]],
    ["a negative time", [KEY, "writers", "v1", -1]],
    ["a version that is no text", [KEY, "writers", 1, 1]],
  ])("are left out with %s", (_, origin) => {
    const { origins } = encodeOrigins([ORIGIN]);
    const message = { box: BOX, whole: false, put: [], drop: [] };
    const decode = (list: readonly unknown[]) =>
      decodeUpdate(toBytes({ ...message, origins: list })).origins;
    expect(decode([origin])).toEqual([]);
    expect(decode([origin, ...origins!])).toEqual([ORIGIN]);
  });
});

describe("a question where to place a stream that a client takes up", () => {
  it("names what binds it", () => {
    const question: PlaceQuestion = {
      box: BOX,
      run: {
        id: "r",
        promptTokens: 10,
        expectedOut: 4,
        hasBegun: false,
        isMovable: false,
      },
      service: BINDING.service,
      tier: 1,
      except: ["s1" as ServerId],
      binding: BINDING,
      urgency: { kind: "at_once" },
    };
    expect(decodePlaceQuestion(encodePlaceQuestion(question))).toEqual(question);
  });
});
