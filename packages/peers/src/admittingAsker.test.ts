/** Which box admits plain requests, as boxes with different links see it. */
import { describe, expect, it } from "vitest";
import {
  advanceSettled,
  createVirtualClock,
  Ok,
  type BoxName,
  type Ms,
} from "@stairgauge/common";
import { createAdmittingAsker } from "./admittingAsker.js";
import type { PeerCall } from "./peerLinks.js";
import { toEqualMember } from "./sharedKnowledge.testkit.js";

const toBox = (name: string) => name as BoxName;

type View = Readonly<{
  own: string;
  hubs: readonly string[];
  up: readonly string[];
  boxes: number;
}>;

const setUp = ({ own, hubs, up, boxes }: View, delay = 5) => {
  const clock = createVirtualClock();
  const asked: string[] = [];
  const ejected: string[] = [];
  const asker = createAdmittingAsker({
    clock,
    own: toBox(own),
    links: {
      listHubs: () => hubs.map(toBox),
      listConnected: () => up.map((name) => toEqualMember(toBox(name))),
      countBoxes: () => boxes,
      findPlace: () => ({ rank: 0, boxes }),
    },
    onEjected: (box) => ejected.push(box),
  });
  /** Like a call whose timers fire late, as after a suspension of this process: the answer arrives anyway. */
  const call: PeerCall<string, string> = (box, question) => {
    asked.push(box);
    return new Promise((resolve) =>
      clock.setTimer(delay as Ms, () => resolve(Ok(question))),
    );
  };
  const ask = async () => {
    const { signal } = new AbortController();
    const answer = asker.ask({ call, question: "q", limit: 60 as Ms, signal });
    await advanceSettled(clock, Math.max(delay, 60) as Ms);
    return answer;
  };
  return { asker, ask, asked, ejected, clock };
};

const ALL = ["a", "b", "c"];

describe("createAdmittingAsker", () => {
  it("asks no successor of an ejected box within the scope of the first one", async () => {
    const late = setUp({ own: "c", hubs: ALL, up: ["a", "b"], boxes: 3 }, 80);
    expect(await late.ask()).toBeUndefined();
    expect(late.ejected).toEqual(["a"]);
    expect(late.asker.find()).toBe("other");
    expect(late.asker.find("first_only")).toBe("none");
    await advanceSettled(late.clock, 3_000 as Ms);
    expect(late.asker.find("first_only")).toBe("other");
  });

  it("asks the first box in a full mesh of two, and that box decides by itself", async () => {
    const second = setUp({ own: "b", hubs: ["a", "b"], up: ["a"], boxes: 2 });
    expect(second.asker.find()).toBe("other");
    expect(await second.ask()).toEqual({ answer: "q", by: "a" });
    const first = setUp({ own: "a", hubs: ["a", "b"], up: ["b"], boxes: 2 });
    expect(first.asker.find()).toBe("own");
    expect(await first.ask()).toBeUndefined();
    expect(first.asked).toEqual([]);
  });

  it("is none for a box that is cut off, so that 473 such boxes do not each admit for all", () => {
    expect(setUp({ own: "b", hubs: ["b"], up: [], boxes: 473 }).asker.find()).toBe(
      "none",
    );
    expect(setUp({ own: "a", hubs: ["a"], up: [], boxes: 2 }).asker.find()).toBe("none");
  });

  it("admits by itself when it is the only box", () => {
    expect(setUp({ own: "a", hubs: ["a"], up: [], boxes: 1 }).asker.find()).toBe("own");
  });

  it("does not use an answer that arrived after a suspension, and asks the next box for 3 s", async () => {
    const { ask, asked, ejected, clock } = setUp(
      { own: "c", hubs: ALL, up: ["a", "b"], boxes: 3 },
      61,
    );
    expect(await ask()).toBeUndefined();
    expect(ejected).toEqual(["a"]);
    await ask();
    clock.advance(3_000 as Ms);
    await ask();
    expect(asked).toEqual(["a", "b", "a"]);
  });
});
