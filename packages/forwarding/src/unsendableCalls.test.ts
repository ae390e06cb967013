/**
 * Guards against a call that cannot be made and is taken for a statement about its server, its path or
 * its carrier, or that keeps what it took: a place among the carried requests, a server's slot.
 */
import { describe, expect, it } from "vitest";
import { createVirtualClock, type BoxName, type Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import type { CarryFrame } from "@stairgauge/paths";
import { openCarriedExchange } from "./carriedExchange.js";
import { createCarryingFleet, type Cut } from "./carrying.testkit.js";
import { makeServer } from "./server.testkit.js";

const UNSENDABLE = ["Expect-Instance", "a\r\nb"];
const CUT: Cut = { box: 0, servers: [0], from: 0, to: 100_000, isRefused: true };

const failToBuild = () => {
  throw new Error("fault of the test");
};

describe("a call that cannot be made", () => {
  it.each([
    ["cannot be sent", { headers: UNSENDABLE }],
    ["cannot be built", { onBuild: failToBuild }],
  ])("says nothing about paths and carriers if its head %s", (_what, changes) => {
    const fleet = createCarryingFleet({ boxes: 3, servers: 2, cuts: [CUT] });
    const onOwnPath = fleet.send(1, 0, "a", changes);
    fleet.clock.advance(500 as Ms);
    expect(onOwnPath.getOutcome()).toMatchObject({ kind: "unsendable" });
    fleet.send(0, 0, "b");
    fleet.clock.advance(500 as Ms);
    const before = fleet.events.length;
    const onLostPath = fleet.send(0, 0, "c", changes);
    fleet.clock.advance(500 as Ms);
    expect(onLostPath.getOutcome()).toMatchObject({ kind: "unsendable" });
    expect(fleet.events.slice(before)).toMatchObject([{ kind: "call_unsendable" }]);
    expect(fleet.countRuns("a") + fleet.countRuns("c")).toBe(0);
  });

  it("is refused by a carrier, which keeps no place for it", () => {
    const fleet = createCarryingFleet({ boxes: 2, servers: 1, cuts: [] });
    const { carry, bounds } = fleet.fleet[1]!;
    const frames: CarryFrame[] = [];
    const question = {
      server: "s0" as ServerId,
      isNewWork: true,
      method: "GET",
      target: "/",
      headers: UNSENDABLE,
      body: Buffer.alloc(0),
    };
    carry(question, { write: (frame) => frames.push(frame) > 0, end: () => undefined });
    fleet.clock.advance(500 as Ms);
    expect(frames).toEqual([{ kind: "refused", reason: "unsendable" }]);
    expect(bounds.count()).toBe(0);
    expect(fleet.events).toEqual([]);
  });

  it("counts as not sent after its carrier could not send it", () => {
    const clock = createVirtualClock();
    const wasSent: boolean[] = [];
    const exchange = openCarriedExchange(
      {
        clock,
        paths: { recordCarried: () => undefined, countUnreachedAllowed: () => 2 },
        carriers: {
          choose: () => "box-1" as BoxName,
          begin: () => () => undefined,
        } as never,
        callCarrier: (_box, _question, { onFrame }) => {
          clock.setTimer(1 as Ms, () => {
            wasSent.push(exchange.isSent());
            onFrame({ kind: "refused", reason: "unsendable" });
          });
          return { cancel() {}, pause() {}, resume() {} };
        },
        onEvent: () => undefined,
      },
      {
        server: makeServer("s0"),
        isNewWork: true,
        build: () =>
          ({ method: "GET", target: "/", headers: [], body: Buffer.alloc(0) }) as never,
        sink: { onFailure: () => wasSent.push(exchange.isSent()) } as never,
        onNotCarried: () => undefined,
      },
    );
    clock.advance(10 as Ms);
    expect(wasSent).toEqual([true, false]);
  });

  it("is offered to the next box if the link to one throws", () => {
    const fleet = createCarryingFleet({
      boxes: 3,
      servers: 1,
      cuts: [CUT],
      closedLinks: [1],
    });
    const sent = [0, 1, 2, 3].map((i) => fleet.send(0, 0, `r${i}`));
    fleet.clock.advance(500 as Ms);
    expect(sent.map(({ getOutcome }) => getOutcome())).toMatchObject(
      sent.map(() => ({ kind: "served", carrier: "box-2" })),
    );
  });
});
