/**
 * The store's list of blocked requests: how boxes follow it, and its effect on attempts that
 * are running.
 */
import { describe, expect, it } from "vitest";
import { hashRequest } from "@stairgauge/crashes";
import { BLOCKED_TABLE } from "@stairgauge/platform";
import {
  createScriptedEngines,
  SITE_HOST,
  SITE_WORKSPACE,
  startUsersSite,
  type EngineScript,
} from "@stairgauge/standins";
import {
  ask,
  closers,
  LENIENT_KEY_REMOVAL,
  makeGeneration,
  startBox,
  waitFor,
  waitUntilRead,
} from "./box.testkit.js";
import { EVENT_COUNT, sendRemaining } from "./scripted.testkit.js";

const PATH = "/verdict/1";
const BODY = "the same again";
const DIGEST = hashRequest({
  host: SITE_HOST,
  target: PATH,
  caller: SITE_WORKSPACE,
  body: Buffer.from(BODY),
});

const startSiteWithEngine = async (scripts: readonly EngineScript[]) => {
  const site = await startUsersSite({ engines: 0, services: 0 });
  closers.push(site.close);
  const engines = createScriptedEngines(scripts);
  const { address, close } = await engines.start("engine-a");
  closers.push(close);
  site.putEngine("engine-a", address);
  const box = await startBox(site.store.address, "box-1", LENIENT_KEY_REMOVAL);
  site.putConfiguration();
  await waitUntilRead(box.lines, 1);
  const askSame = () =>
    ask(box.ports, {
      path: PATH,
      body: BODY,
      headers: makeGeneration(300, EVENT_COUNT),
    });
  const putRow = () =>
    site.store.put(BLOCKED_TABLE, DIGEST, {
      ends: ["a", "b", "c"].map((server) => ({ server, at: Date.now() })),
    });
  const dropRow = () => site.store.drop(BLOCKED_TABLE, DIGEST);
  const awaitLine = (event: string) =>
    waitFor(() => box.lines.some((line) => line.event === event));
  return { engines, askSame, putRow, dropRow, awaitLine };
};

describe("the list of blocked requests", () => {
  it("blocks a request until an operator has dropped its row", async () => {
    const { engines, askSame, putRow, dropRow, awaitLine } = await startSiteWithEngine([
      sendRemaining,
    ]);
    putRow();
    await awaitLine("request_blocked");
    const refused = await askSame();
    expect(refused).toMatchObject({ status: 503, isWhole: true });
    expect(JSON.parse(refused.body)).toEqual({ error: "servers_end_under_it" });
    expect(engines.listCalls()).toEqual([]);
    dropRow();
    await awaitLine("request_released");
    expect(await askSame()).toMatchObject({ status: 200, isWhole: true });
  });

  it("ends an attempt that waits at an engine, without stating that it has not run", async () => {
    const { engines, askSame, putRow } = await startSiteWithEngine([() => undefined]);
    const answered = askSame();
    await waitFor(() => engines.listCalls().length === 1);
    putRow();
    const answer = await answered;
    expect(answer.status).toBe(502);
    expect(answer.headers["retry-after"]).toBeUndefined();
  });
});
