/** Guards against a stream that is refused because its record is a few milliseconds late or only one box has it. */
import { once } from "node:events";
import { connect, createServer, type AddressInfo, type Socket } from "node:net";
import { describe, expect, it } from "vitest";
import {
  advanceSettled,
  createSystemClock,
  createVirtualClock,
  Err,
  Ok,
  stopEventLoop,
  type BoxName,
  type Ms,
  type ServiceName,
} from "@stairgauge/common";
import type { SoftwareVersion } from "@stairgauge/directory";
import { hashStreamKey } from "./hashStreamKey.js";
import { createOriginFinder, type AskOrigin, type FoundOrigin } from "./originFinder.js";
import { ASK_LIMIT_MS } from "./constants.js";
import { createOriginRegistry } from "./originRegistry.js";

const KEY = hashStreamKey({ host: "h", caller: "site", requestId: "r" });
const ORIGIN = {
  key: KEY,
  binding: {
    service: "writers" as ServiceName,
    softwareVersion: "v1" as SoftwareVersion,
  },
  left: 60_000 as Ms,
};

/** What each box answers: that it knows, that it does not, nothing at all, or a failure. */
type Reply = "known" | "not_known" | "silent" | "failed";

const answer = (reply: Reply): ReturnType<AskOrigin> => {
  switch (reply) {
    case "known":
      return Promise.resolve(Ok({ kind: "known", origin: ORIGIN }));
    case "not_known":
      return Promise.resolve(Ok({ kind: "not_known" }));
    case "silent":
      return new Promise(() => undefined);
    case "failed":
      return Promise.resolve(Err("lost"));
  }
};

const setUp = (replies: readonly Reply[]) => {
  const clock = createVirtualClock();
  const registry = createOriginRegistry();
  let asked = 0;
  const finder = createOriginFinder({
    clock,
    registry,
    listConnected: () => replies.map((_, i) => `box-${i}` as BoxName),
    ask: (box) => {
      asked += 1;
      return answer(replies[Number(box.split("-")[1])]!);
    },
  });
  let found: FoundOrigin | undefined;
  void finder.find(KEY).then((result) => {
    found = result;
  });
  return { clock, registry, getFound: () => found, countAsked: () => asked };
};

describe("createOriginFinder", () => {
  it("asks nobody about an origin on record", async () => {
    const clock = createVirtualClock();
    const registry = createOriginRegistry();
    registry.put(ORIGIN, clock.monotonic(), false);
    const finder = createOriginFinder({
      clock,
      registry,
      listConnected: () => ["box-1" as BoxName],
      ask: () => Promise.reject(new TypeError("asked")),
    });
    expect(await finder.find(KEY)).toMatchObject({ kind: "known", by: undefined });
  });

  it("takes the answer of the one box that knows, beside silent and failing ones", async () => {
    const { clock, getFound } = setUp(["silent", "failed", "not_known", "known"]);
    await advanceSettled(clock, 1 as Ms);
    expect(getFound()).toMatchObject({ kind: "known", by: "box-3" });
  });

  it("waits for a record that arrives after the question", async () => {
    const { clock, registry, getFound } = setUp(["not_known"]);
    await advanceSettled(clock, 10 as Ms);
    expect(getFound()).toBeUndefined();
    registry.put(ORIGIN, clock.monotonic(), false);
    await advanceSettled(clock, 20 as Ms);
    expect(getFound()).toMatchObject({ kind: "known" });
  });

  it("gives up within half a second, with the number of boxes that answered", async () => {
    const { clock, getFound } = setUp(["silent", "not_known", "not_known"]);
    for (let passed = 0; passed < 500; passed += 10)
      await advanceSettled(clock, 10 as Ms);
    expect(getFound()).toEqual({ kind: "not_known", answered: 2 });
  });

  it("asks nobody when there is no other box", async () => {
    const { clock, getFound, countAsked } = setUp([]);
    for (let passed = 0; passed < 500; passed += 10)
      await advanceSettled(clock, 10 as Ms);
    expect(getFound()).toEqual({ kind: "not_known", answered: 0 });
    expect(countAsked()).toBe(0);
  });

  it("finds an origin whose record arrived in time while the process was suspended", async () => {
    const server = createServer();
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    const near = connect((server.address() as AddressInfo).port, "127.0.0.1");
    const [far] = (await once(server, "connection")) as [Socket];
    await once(near, "connect");
    const finder = createOriginFinder({
      clock: createSystemClock(),
      registry: createOriginRegistry(),
      listConnected: () => ["box-0" as BoxName],
      ask: async () => {
        await once(near, "data");
        return answer("known");
      },
    });
    const found = finder.find(KEY);
    far.write("a");
    stopEventLoop((2 * ASK_LIMIT_MS) as Ms);
    expect(await found).toMatchObject({ kind: "known", by: "box-0" });
    near.destroy();
    server.close();
  });
});
