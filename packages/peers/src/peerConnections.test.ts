/**
 * Guards against connections that take what a process has: its descriptors by sending nothing, its memory by calls and
 * unread answers without an end; and against ending those of boxes for them.
 */
import { describe, expect, it } from "vitest";
import { createVirtualClock, type Ms } from "@stairgauge/common";
import { createPeerConnections } from "./peerConnections.js";

const NO_READING = { stop: () => undefined, start: () => undefined };

const openConnections = (maxConnections: number) => {
  const ended: string[] = [];
  const reported: string[] = [];
  const boxes = new Set<string>();
  const clock = createVirtualClock();
  const connections = createPeerConnections({
    clock,
    limits: {
      maxConnections,
      maxCalls: 10,
      maxCallsOfConnection: 10,
      maxUnreadBytes: 1_000,
      maxUnhandledBytes: 1_000_000,
    },
    onLimit: (limit) => reported.push(limit),
  });
  const add = (peer: string) =>
    connections.add(peer, { destroy: () => ended.push(peer), reading: NO_READING });
  /** A box opens a call and sends its state as soon as it is connected. */
  const addBox = (peer: string) => {
    if (!boxes.has(peer)) add(peer);
    boxes.add(peer);
    const call = connections.openCall(peer);
    call.onMessage();
    return call;
  };
  return { clock, connections, ended, reported, add, addBox };
};

describe("createPeerConnections", () => {
  it("closes silent connections for new ones, the longest silent first, and none of a box", () => {
    const { connections, ended, reported, add, addBox } = openConnections(402);
    for (let i = 0; i < 400; i += 1) addBox(`box-${i}`);
    for (let i = 0; i < 4; i += 1) add(`silent-${i}`);
    expect(ended).toEqual(["silent-0", "silent-1"]);
    expect(reported).toEqual(["idle", "idle"]);
    expect(connections.count()).toBe(402);
  });

  it("closes none for a new one where all have calls, and one whose last call has ended", () => {
    const { ended, reported, add, addBox } = openConnections(2);
    addBox("box-1");
    const call = addBox("box-2");
    expect(add("box-3")).toBe(false);
    call.onEnd();
    expect(add("box-4")).toBe(true);
    expect(ended).toEqual(["box-3", "box-2"]);
    expect(reported).toEqual(["too_many_connections", "idle"]);
  });

  it("counts a connection with the port of one that has just been ended", () => {
    const { connections, add } = openConnections(2);
    const former = { destroy: () => undefined, reading: NO_READING };
    connections.add("a", former);
    add("a");
    connections.remove("a", former);
    expect(connections.count()).toBe(1);
  });

  it("closes none for a new one under the name of one that has ended unreported", () => {
    const { connections, ended, add, addBox } = openConnections(2);
    connections.add("a", {
      destroy: () => ended.push("former"),
      reading: NO_READING,
    });
    add("a");
    addBox("b");
    expect(add("c")).toBe(true);
    expect(ended).toEqual(["a"]);
  });

  it("ends the connection with most calls where there are too many, and those that sent no message", () => {
    const { connections, ended, reported, add, addBox } = openConnections(20);
    for (const box of ["box-1", "box-2"]) {
      addBox(box);
      addBox(box).onEnd();
    }
    add("silent");
    for (let i = 0; i < 20; i += 1) connections.openCall("box-2");
    expect(ended).toEqual(["box-2", "silent"]);
    expect(reported).toEqual(["too_many_calls", "too_many_calls"]);
  });

  it("ends a connection that doesn't read where answers take too much memory, and no other", () => {
    const { clock, connections, ended, addBox } = openConnections(20);
    addBox("reads nothing").holdBytes(600);
    const release = addBox("box-1").holdBytes(600);
    expect([connections.hasRoom(), ended]).toEqual([false, []]);
    release();
    expect(connections.hasRoom()).toBe(true);
    clock.advance(250 as Ms);
    addBox("box-2").holdBytes(600);
    expect([connections.hasRoom(), ended]).toEqual([true, ["reads nothing"]]);
  });
});
