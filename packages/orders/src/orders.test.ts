/** Tests orders under a lease: two boxes, lost answers and a holder suspended past its lease. */
import { describe, expect, it } from "vitest";
import { createVirtualClock, Ok, type ModelName, type Ms } from "@stairgauge/common";
import type { EngineClient, EngineOrder } from "@stairgauge/engines";
import { createMemoryPlatform, createPlatformModel } from "@stairgauge/standins";
import { LEASE_MS, ORDER_LIFE_MS } from "./constants.js";
import { createOrderLease } from "./orderLease.js";
import { createOrderSender } from "./orderSender.js";

const ORDER = { kind: "loadModel", model: "m" as ModelName, version: "1" } as const;

const createBench = (options: { readonly checksOrders?: boolean } = {}) => {
  const clock = createVirtualClock(1_000_000 as Ms);
  const model = createPlatformModel();
  const platform = createMemoryPlatform(model, clock);
  const received: { readonly order: EngineOrder; readonly at: number }[] = [];
  const sendOrder = (_address: string, order: EngineOrder) => {
    received.push({ order, at: clock.now() });
    return Promise.resolve(Ok(undefined));
  };
  const engines = { sendOrder } as unknown as EngineClient;
  const createBox = (holder: string, incarnation = "1") => {
    const lease = createOrderLease({
      table: platform.table,
      clock,
      engine: "e",
      holder,
      incarnation,
    });
    const checksOrders = options.checksOrders ?? true;
    return createOrderSender({ lease, engines, clock, address: "e", checksOrders });
  };
  /** Awaits a promise and advances the virtual clock until it has settled. */
  const run = async <T>(promise: Promise<T>): Promise<T> => {
    let isDone = false;
    void promise.finally(() => (isDone = true));
    for (let i = 0; i < 200 && !isDone; i += 1) {
      await Promise.resolve();
      if (i % 20 === 19 && !isDone) clock.step();
    }
    return promise;
  };
  return { clock, model, received, createBox, run };
};

describe("createOrderSender", () => {
  it("sends for one box at a time, with a higher fencing token for each new holder", async () => {
    const { clock, received, createBox, run } = createBench();
    const [a, b] = [createBox("a"), createBox("b")];
    expect((await run(a.send(ORDER))).ok).toBe(true);
    expect((await run(b.send(ORDER))).val).toMatchObject({
      kind: "no_lease",
      failure: { kind: "held_by_another", holder: "a" },
    });
    expect((await run(a.send(ORDER))).ok).toBe(true);
    clock.advance(LEASE_MS);
    expect((await run(b.send(ORDER))).ok).toBe(true);
    expect(received.map(({ order }) => order.fencingToken)).toEqual([1, 1, 2]);
  });

  it("sends nothing when the holder was suspended past its lease", async () => {
    const { model, received, createBox, run } = createBench();
    const a = createBox("a");
    expect((await run(a.send(ORDER))).ok).toBe(true);
    // The holder is suspended between the write of the lease and its answer.
    model.setMode({ delayMs: LEASE_MS });
    const late = await run(a.send(ORDER));
    expect(late.val).toEqual({ kind: "lease_lapsed" });
    expect(received).toHaveLength(1);
  });

  it("waits for the old holder's last deadline before sending to an engine that checks no tokens", async () => {
    const { clock, received, createBox, run } = createBench({ checksOrders: false });
    const [a, b] = [createBox("a"), createBox("b")];
    await run(a.send(ORDER));
    clock.advance(LEASE_MS);
    const begun = clock.now();
    await run(b.send(ORDER));
    const [first, second] = received;
    expect(second!.at).toBeGreaterThanOrEqual(begun + ORDER_LIFE_MS);
    expect(first!.order.deadlineAt).toBeLessThan(second!.at);
  });

  it("keeps the same token when the answer to the lease's write was lost", async () => {
    const { model, received, createBox, run } = createBench();
    const a = createBox("a");
    model.setMode({ answersToLose: 1 });
    expect((await run(a.send(ORDER))).val).toMatchObject({ kind: "no_lease" });
    expect((await run(a.send(ORDER))).ok).toBe(true);
    expect(received[0]!.order.fencingToken).toBe(1);
  });

  it("needs a new token after the box has restarted", async () => {
    const { clock, received, createBox, run } = createBench();
    await run(createBox("a", "1").send(ORDER));
    expect((await run(createBox("a", "2").send(ORDER))).ok).toBe(false);
    clock.advance(LEASE_MS);
    await run(createBox("a", "2").send(ORDER));
    expect(received.map(({ order }) => order.fencingToken)).toEqual([1, 2]);
  });

  it("sends nothing while the store is down", async () => {
    const { model, received, createBox, run } = createBench();
    model.setMode({ isDown: true });
    expect((await run(createBox("a").send(ORDER))).ok).toBe(false);
    expect(received).toEqual([]);
  });
});
