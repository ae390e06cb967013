/** Signs of contended services: when they are sent, forwarded and expire. */
import { describe, expect, it } from "vitest";
import { createVirtualClock, type Ms, type ServiceName } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import {
  createContention,
  type ContentionEvent,
  type ContentionUpdate,
} from "./index.js";

const SERVICE = "search" as ServiceName;
const toServer = (name: string) => name as ServerId;
const FROM_BOX = { box: "b2", message: "update" } as const;
const FROM_HUB = { box: "hub", message: "notice" } as const;

const makeUpdate = (age: number, service = SERVICE): ContentionUpdate => ({
  signs: [{ service, age: age as Ms, full: [] }],
  unknownParts: 0,
});

const setUp = () => {
  const clock = createVirtualClock();
  const sent: ContentionUpdate[] = [];
  const forwarded: ContentionUpdate[] = [];
  const full: string[] = [];
  let brittle: readonly ServerId[] = [];
  const learned: Readonly<{ servers: readonly ServerId[]; age: Ms }>[] = [];
  const setBrittle = (servers: readonly ServerId[]) => {
    brittle = servers;
  };
  const events: ContentionEvent[] = [];
  const contention = createContention({
    clock,
    onOwnUpdate: (update) => sent.push(update),
    onSharedUpdate: (update) => forwarded.push(update),
    onFull: (server) => full.push(server),
    listBrittle: () => brittle,
    onBrittle: (servers, age) => void learned.push({ servers, age }),
    onEvent: (event) => events.push(event),
  });
  return { clock, contention, sent, forwarded, full, events, setBrittle, learned };
};

describe("createContention", () => {
  it("states the brittle servers of a service in its signs, and passes on those that other boxes state", () => {
    const { contention, sent, forwarded, setBrittle, learned } = setUp();
    const brittle = [toServer("a")];
    const sign = { service: SERVICE, age: 300 as Ms, full: [], brittle };
    contention.applyShared({ signs: [sign], unknownParts: 0 }, FROM_BOX);
    expect(learned).toEqual([{ servers: brittle, age: 300 }]);
    setBrittle(brittle);
    contention.onSign("other" as ServiceName);
    expect(sent[0]!.signs).toEqual([{ ...sign, service: "other", age: 0 }]);
    expect(contention.listSigns().signs[0]).toMatchObject({ brittle });
    expect(forwarded).toHaveLength(1);
  });

  it("keeps a service contended for 5 s after the newest sign, and reports when that is over", () => {
    const { clock, contention, events } = setUp();
    contention.onSign(SERVICE);
    clock.advance(3_000 as Ms);
    contention.onSign(SERVICE);
    clock.advance(4_999 as Ms);
    expect(contention.getContendedFor(SERVICE)).toBe(7_999);
    expect(contention.isContended(SERVICE)).toBe(true);
    clock.advance(1 as Ms);
    expect(contention.isContended(SERVICE)).toBe(false);
    expect(contention.getContendedFor(SERVICE)).toBe(0);
    expect(events).toEqual([
      { kind: "contended", service: SERVICE, by: undefined, age: 0, of: "slots" },
      { kind: "uncontended", service: SERVICE, lasted: 8_000 },
    ]);
  });

  it("sends the first sign at once and the next ones at most once per second, so that 130 rejections per second cost few messages", () => {
    const { clock, contention, sent } = setUp();
    for (let i = 0; i < 200; i += 1) {
      contention.onSign(SERVICE);
      clock.advance(10 as Ms);
    }
    expect(sent).toHaveLength(2);
  });

  it("sends each server's rejections at most four times per second", () => {
    const { clock, contention, sent, full } = setUp();
    for (let i = 0; i < 100; i += 1) {
      contention.onSign(SERVICE, toServer(`s${i % 2}`));
      clock.advance(10 as Ms);
    }
    expect(full).toHaveLength(100);
    expect(sent.flatMap(({ signs }) => signs.flatMap((sign) => sign.full))).toHaveLength(
      8,
    );
  });

  it("counts the age of a shared sign, and ignores one that has expired", () => {
    const { clock, contention } = setUp();
    contention.applyShared(makeUpdate(4_000), FROM_BOX);
    contention.applyShared(makeUpdate(5_000, "old" as ServiceName), FROM_BOX);
    expect(contention.isContended("old" as ServiceName)).toBe(false);
    expect(contention.listSigns().signs).toEqual([
      { service: SERVICE, age: 4_000, full: [] },
    ]);
    clock.advance(1_000 as Ms);
    expect(contention.isContended(SERVICE)).toBe(false);
  });

  // Guards against refusing requests for lack of slots because one box has used up its connections.
  it("is short of slots only by signs of slots, its own ones and those of other boxes", () => {
    const ofConnections = [{ service: SERVICE, age: 0, full: [], isOfConnections: true }];
    const observing = setUp();
    observing.contention.onConnectionsUsed(SERVICE);
    expect(observing.contention.isContended(SERVICE)).toBe(true);
    expect(observing.contention.isShortOfSlots(SERVICE)).toBe(false);
    expect(observing.sent[0]!.signs).toEqual(ofConnections);
    expect(observing.contention.listSigns().signs).toEqual(ofConnections);

    const { clock, contention, forwarded } = setUp();
    contention.applyShared(observing.sent[0]!, FROM_BOX);
    expect(forwarded[0]!.signs).toEqual(ofConnections);
    expect(contention.isContended(SERVICE)).toBe(true);
    expect(contention.isShortOfSlots(SERVICE)).toBe(false);
    contention.applyShared(makeUpdate(2_000), FROM_BOX);
    expect(contention.isShortOfSlots(SERVICE)).toBe(true);
    expect(contention.listSigns().signs).toEqual(makeUpdate(2_000).signs);
    clock.advance(3_000 as Ms);
    expect(contention.isShortOfSlots(SERVICE)).toBe(false);
    expect(contention.isContended(SERVICE)).toBe(true);
  });

  it("is short of slots whenever it is contended while servers are brittle", () => {
    const { contention, setBrittle } = setUp();
    setBrittle([toServer("a")]);
    expect(contention.isShortOfSlots(SERVICE)).toBe(false);
    contention.onConnectionsUsed(SERVICE);
    expect(contention.isShortOfSlots(SERVICE)).toBe(true);
  });

  it("expires between two hubs on slow links: signs from notices are not forwarded", () => {
    const { clock, contention, forwarded } = setUp();
    contention.applyShared(makeUpdate(0), FROM_BOX);
    clock.advance(2_000 as Ms);
    contention.applyShared(makeUpdate(0), FROM_HUB);
    expect(forwarded).toHaveLength(1);
  });

  it("keeps a bounded number of services, and counts what it leaves out", () => {
    const { contention, events } = setUp();
    for (let i = 0; i < 300; i += 1)
      contention.applyShared(makeUpdate(0, `s${i}` as ServiceName), FROM_BOX);
    expect(contention.listSigns().signs).toHaveLength(256);
    expect(events.filter(({ kind }) => kind === "signs_left_out")).toHaveLength(44);
  });

  it("counts signs that could not be read", () => {
    const { contention, events } = setUp();
    contention.applyShared({ signs: [], unknownParts: 3 }, FROM_BOX);
    expect(events).toEqual([{ kind: "signs_left_out", by: "b2", count: 3 }]);
  });
});
