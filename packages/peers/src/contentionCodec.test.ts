/** The fields for contended services in messages, between boxes of different releases. */
import { describe, expect, it } from "vitest";
import type { BoxName, Ms, ServiceName } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { createPlainRun, type PlaceQuestion } from "@stairgauge/placement";
import {
  decodePlaceAnswer,
  decodePlaceQuestion,
  encodePlaceAnswer,
  encodePlaceQuestion,
} from "./adviceCodec.js";
import { makeNotice } from "./makeNotice.js";
import { makeRunUpdate } from "./makeRunUpdate.js";
import { decodeNotice, decodeUpdate, encodeNotice, encodeUpdate } from "./updateCodec.js";

const toBytes = (value: unknown) => Buffer.from(JSON.stringify(value));
const SIGN = {
  service: "search" as ServiceName,
  age: 20 as Ms,
  full: ["s1" as ServerId],
};
const SIGN_OF_CONNECTIONS = { ...SIGN, isOfConnections: true as const };
const CONTENDED = { signs: [SIGN, SIGN_OF_CONNECTIONS], unknownParts: 0 };
const UPDATE = makeRunUpdate("b" as BoxName, {
  put: [{ server: "s1" as ServerId, run: createPlainRun("r") }],
});
const QUESTION: PlaceQuestion = {
  box: "b" as BoxName,
  run: createPlainRun("r"),
  service: SIGN.service,
  tier: 1,
  except: [],
  urgency: { kind: "within", wait: 500 as Ms },
  admission: {
    workspace: undefined,
    subject: "digest",
    aimInMs: -4 as Ms,
    endsInMs: 600 as Ms,
    workMs: 21 as Ms,
  },
};

describe("the fields for contended services", () => {
  it("are the same after encoding and decoding", () => {
    const update = { ...UPDATE, contended: CONTENDED };
    expect(decodeUpdate(encodeUpdate(update))).toEqual(update);
    const notice = makeNotice({ contended: CONTENDED });
    expect(decodeNotice(encodeNotice(notice))).toEqual(notice);
    expect(decodePlaceQuestion(encodePlaceQuestion(QUESTION))).toEqual(QUESTION);
    const refused = {
      kind: "refused",
      reason: "no_room",
      retryAfter: 800 as Ms,
    } as const;
    expect(decodePlaceAnswer(encodePlaceAnswer(refused))).toEqual(refused);
  });

  it("are undefined in messages of a box that sends none", () => {
    expect(decodeUpdate(encodeUpdate(UPDATE)).contended).toBeUndefined();
    expect(decodeNotice(toBytes({ leaving: [] })).contended).toBeUndefined();
    const question = { ...QUESTION, admission: undefined };
    expect(decodePlaceQuestion(encodePlaceQuestion(question))).not.toHaveProperty(
      "admission",
    );
  });

  it("leave out and count signs that cannot be read, and accept the rest of the message", () => {
    const message = JSON.parse(encodeUpdate(UPDATE).toString()) as object;
    const parts = [{ service: 7 }, { ...SIGN, later: true }, "?"];
    const update = decodeUpdate(toBytes({ ...message, contended: parts }));
    expect(update.contended).toEqual({ signs: [SIGN], unknownParts: 2 });
    expect(update.put).toEqual(UPDATE.put);
    expect(decodeUpdate(toBytes({ ...message, contended: "?" })).contended).toEqual({
      signs: [],
      unknownParts: 1,
    });
  });

  it("read an answer of an unknown kind as such, and reject an invalid one of a known kind", () => {
    expect(decodePlaceAnswer(toBytes({ kind: "later" }))).toEqual({ kind: "unknown" });
    expect(() => decodePlaceAnswer(toBytes({ kind: "refused" }))).toThrow();
  });
});
