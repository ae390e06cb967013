/**
 * Guards against requests to data halls that operators have closed. Boxes that ignored the
 * closing sent 636 requests to servers of two closed halls later than the bound allows. First
 * attempts and retries go to open halls only, what runs in a closed hall runs on, and what no
 * open hall can serve is refused at once as not run.
 */
import { describe, expect, it } from "vitest";
import {
  ask,
  beginDraft,
  makeGeneration,
  startSite,
  waitFor,
  type Line,
} from "./box.testkit.js";

const CLOSED = "hall-b";

const awaitHall = (lines: readonly Line[], event: string) =>
  waitFor(() => lines.some((line) => line.event === event && line.hall === CLOSED));

describe("a data hall that operators have closed to new work", () => {
  it("gets no requests, neither first attempts nor retries, until it is opened again", async () => {
    const { site, ports, lines, start } = await startSite(0, 2);
    const [inClosed, inOpen] = site.services;
    site.putHall(inClosed!, CLOSED);
    await start();
    site.closeHall(CLOSED);
    await awaitHall(lines, "hall_closed");
    const before = inClosed!.listReceived().length;
    for (let i = 0; i < 20; i += 1) {
      const answer = await ask(ports, { path: "/once/" });
      expect(answer.status).toBe(200);
    }
    inOpen!.setFaults(["full"]);
    expect((await ask(ports, { path: "/again/" })).status).toBe(503);
    expect(inClosed!.listReceived()).toHaveLength(before);

    site.openHall(CLOSED);
    await awaitHall(lines, "hall_opened");
    inOpen!.setFaults(["full"]);
    expect((await ask(ports, { path: "/again/" })).status).toBe(200);
    expect(inClosed!.listReceived()).toHaveLength(before + 1);
  });

  it("has requests refused at once, as not run and with Retry-After, if no other hall serves them", async () => {
    const { site, ports, lines, start } = await startSite(1, 1);
    site.putHall(site.services[0]!, CLOSED);
    site.putHall(site.engines[0]!, CLOSED);
    await start();
    site.closeHall(CLOSED);
    await awaitHall(lines, "hall_closed");
    const plain = await ask(ports, { path: "/once/" });
    const draft = await ask(ports, {
      path: "/draft/1",
      headers: makeGeneration(300, 4),
    });
    for (const answer of [plain, draft]) {
      expect(answer.status).toBe(503);
      expect(Number(answer.headers["retry-after"])).toBeGreaterThan(0);
      expect(answer.body).toContain("data_halls_closed");
    }
    expect(lines.filter(({ event }) => event === "waits")).toEqual([]);
    expect(site.services[0]!.listReceived()).toEqual([]);
    expect(site.engines[0]!.listStarted()).toEqual([]);
  });

  it("runs a stream to its end if it began before", async () => {
    const { site, ports, lines, start } = await startSite(1, 0);
    site.putHall(site.engines[0]!, CLOSED);
    await start();
    const { answered } = await beginDraft(ports);
    site.closeHall(CLOSED);
    await awaitHall(lines, "hall_closed");
    expect(await answered).toMatchObject({ status: 200, isWhole: true });
    expect(lines.filter(({ event }) => event === "stream_lost")).toEqual([]);
  });
});
