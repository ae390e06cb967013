/** The choice of the hub that is asked, and the handling of a silent hub. */
import { describe, expect, it } from "vitest";
import {
  advanceSettled,
  createVirtualClock,
  Err,
  Ok,
  type BoxName,
  type Ms,
} from "@stairgauge/common";
import { createHubAsker } from "./hubAsker.js";
import { toEqualMember } from "./sharedKnowledge.testkit.js";
import type { PeerCall } from "./peerLinks.js";

const toBox = (name: string) => name as BoxName;

const setUp = (silent: readonly string[] = [], isHub = false) => {
  const clock = createVirtualClock();
  const ejected: string[] = [];
  const asked: string[] = [];
  const asker = createHubAsker({
    clock,
    links: {
      isHub: () => isHub,
      listHubs: () => ["down", "first", "next"].map(toBox),
      listConnected: () => ["next", "first"].map((name) => toEqualMember(toBox(name))),
    },
    onEjected: (box) => ejected.push(box),
  });
  const call: PeerCall<string, string> = (box, question, signal) => {
    asked.push(box);
    if (!silent.includes(box)) return Promise.resolve(Ok(`${question} to ${box}`));
    return new Promise((resolve) => {
      signal.addEventListener("abort", () =>
        resolve(Err({ kind: "failed", detail: "aborted call" })),
      );
    });
  };
  const { signal } = new AbortController();
  const ask = (by = signal) =>
    asker.ask({ call, question: "q", limit: 150 as Ms, signal: by });
  const advance = (duration: number) => advanceSettled(clock, duration as Ms);
  return { asker, ask, asked, ejected, advance };
};

describe("createHubAsker", () => {
  it("asks the first hub whose link is up", async () => {
    const { asker, ask } = setUp();
    expect(asker.isNeeded()).toBe(true);
    expect(await ask()).toEqual({ answer: "q to first", by: "first" });
  });

  it("asks no box when it is a hub itself", async () => {
    const { asker, ask, asked } = setUp([], true);
    expect(asker.isNeeded()).toBe(false);
    expect(await ask()).toBeUndefined();
    expect(asked).toEqual([]);
  });

  it("ejects a silent hub after the time limit, asks the next one for a while, and then the first again", async () => {
    const { ask, asked, ejected, advance } = setUp(["first"]);
    const answer = ask();
    await advance(160);
    expect(await answer).toBeUndefined();
    expect(ejected).toEqual(["first"]);
    expect(await ask()).toEqual({ answer: "q to next", by: "next" });
    await advance(3_000);
    void ask();
    expect(asked).toEqual(["first", "next", "first"]);
  });

  it("does not eject a hub when the client has disconnected", async () => {
    const { ask, ejected, advance } = setUp(["first"]);
    const client = new AbortController();
    const answer = ask(client.signal);
    client.abort();
    await advance(10);
    expect(await answer).toBeUndefined();
    expect(ejected).toEqual([]);
  });
});
