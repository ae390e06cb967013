/** Which runs of other boxes count as competing placements, and what updates pass on to the admission. */
import { describe, expect, it } from "vitest";
import { createVirtualClock, type BoxName, type ServiceName } from "@stairgauge/common";
import type { BackendServer, ServerDirectory, ServerId } from "@stairgauge/directory";
import { makeRunUpdate } from "@stairgauge/peers";
import { createLoadRegistry, createPlainRun } from "@stairgauge/placement";
import { createUpdateReceiver } from "./receiveUpdates.js";

const [KNOWN, GONE] = ["known", "gone"].map((id) => id as ServerId);
const UPDATE = makeRunUpdate("b" as BoxName);

const setUp = () => {
  const registry = createLoadRegistry();
  const counts: number[] = [];
  const passed: unknown[] = [];
  const directory = {
    find: (id) => (id === KNOWN ? ({ entry: { id } } as BackendServer) : undefined),
  } as ServerDirectory;
  const { receiveUpdate } = createUpdateReceiver({
    clock: createVirtualClock(),
    registry,
    competing: { record: (count) => counts.push(count), estimate: () => 0 },
    getParts: () => ({
      directory,
      placer: { handleBroken: () => {}, handleAnswered: () => {} },
      guard: { applyUpdate: () => undefined },
      limits: { applyUpdate: () => undefined },
      origins: { streams: { applyShared: () => undefined } },
      pace: { registry: { applyShared: () => undefined } },
      capacity: {
        applyShared: (update, source) => passed.push([update, source]),
        onEnded: (server) => passed.push([server, registry.listPeerRuns(server).length]),
      },
    }),
    isOutOfTouch: () => false,
  });
  return { receiveUpdate, registry, counts, passed };
};

describe("createUpdateReceiver", () => {
  it("does not count plain requests as competing placements of generations", () => {
    const { receiveUpdate, registry, counts } = setUp();
    const generation = { ...createPlainRun("g"), promptTokens: 100 };
    receiveUpdate({
      ...UPDATE,
      put: [
        { server: KNOWN!, run: createPlainRun("p") },
        { server: KNOWN!, run: generation },
      ],
    });
    expect(counts).toEqual([1]);
    expect(registry.listPeerRuns(KNOWN!)).toHaveLength(2);
  });

  it("records no plain request at a server that has gone", () => {
    const { receiveUpdate, registry } = setUp();
    receiveUpdate({ ...UPDATE, put: [{ server: GONE!, run: createPlainRun("p") }] });
    expect(registry.listPeerRuns(GONE!)).toEqual([]);
  });

  it("passes signs and ended requests on after the records have changed", () => {
    const { receiveUpdate, passed } = setUp();
    receiveUpdate({ ...UPDATE, put: [{ server: KNOWN!, run: createPlainRun("p") }] });
    const sign = { service: "s" as ServiceName, age: 0 as never, full: [KNOWN!] };
    const contended = { signs: [sign], unknownParts: 0 };
    receiveUpdate({ ...UPDATE, drop: [{ server: KNOWN!, id: "p" }], contended });
    expect(passed).toEqual([
      [contended, { box: "b", message: "update" }],
      [KNOWN, 0],
    ]);
  });
});
