/** Guards against connections that send nothing, until the process has no descriptor left, and against ending those of boxes for them. */
import { describe, expect, it } from "vitest";
import { createPeerConnections } from "./peerConnections.js";

const openConnections = (maxConnections: number) => {
  const ended: string[] = [];
  const reported: string[] = [];
  const connections = createPeerConnections({
    limits: { maxConnections },
    onLimit: (limit) => reported.push(limit),
  });
  const add = (peer: string) =>
    connections.add(peer, { destroy: () => ended.push(peer) });
  /** A box opens a call and sends its state as soon as it is connected. */
  const addBox = (peer: string) => {
    add(peer);
    const call = connections.openCall(peer);
    call.onMessage();
    return call;
  };
  return { connections, ended, reported, add, addBox };
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
    const former = { destroy: () => undefined };
    connections.add("a", former);
    add("a");
    connections.remove("a", former);
    expect(connections.count()).toBe(1);
  });
});
