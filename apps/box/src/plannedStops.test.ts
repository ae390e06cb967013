/**
 * Guards against requests that a box cuts when it stops, because nobody answers them before its connections are closed:
 * whatever is open at the end gets an answer that says whether it may have run, or is broken off if its answer has begun.
 */
import { request as openRequest } from "node:http";
import { describe, expect, it } from "vitest";
import { createSystemClock } from "@stairgauge/common";
import { parseBoxSettings } from "@stairgauge/settings";
import { SITE_HOST, SITE_KEY } from "@stairgauge/standins";
import {
  ask,
  beginDraft,
  BUSY_MACHINE_TIMEOUT_MS,
  makeGeneration,
  startSite,
  waitFor,
  type Ask,
  type Line,
} from "./box.testkit.js";
import { createBox, type BoxPorts } from "./createBox.js";
import type { FleetBox } from "./fleet.testkit.js";
import { createLineLog } from "./lineLog.testkit.js";
import { startCuttableFleet } from "./lostPaths.testkit.js";

/** Shorter than the routes' limit. */
const STOP = { stopSeconds: 1 };

const makeSettings = (store: string, stopSeconds: number, name = "box-1") =>
  parseBoxSettings(`
box: ${name}
dataHall: hall-a
listen: { clients: "127.0.0.1:0", ready: "127.0.0.1:0", metrics: "127.0.0.1:0", peers: "127.0.0.1:0" }
store: { address: "${store}" }
bounds: { configurationMs: 600, keyRemovalMs: 1300, isKeyRemovalStrict: true, leavingMs: 2000, stopSeconds: ${stopSeconds} }
retries: { ratio: 0.2, slack: 160, windowSeconds: 10 }
`).unwrap();

const countLines = (lines: readonly Line[], name: string) =>
  lines.filter(({ event }) => event === name).length;

const readReason = ({ body }: Readonly<{ body: string }>) =>
  (JSON.parse(body) as { error: string }).error;

/** Sends a request whose body is never complete. */
const askUnfinished = (ports: BoxPorts) =>
  new Promise<number>((resolve) => {
    const outgoing = openRequest({
      host: "127.0.0.1",
      port: ports.clients,
      path: "/once/unfinished",
      method: "POST",
      agent: false,
      headers: {
        Host: SITE_HOST,
        Authorization: `Token ${SITE_KEY}`,
        "Request-Id": "unfinished",
        "Content-Length": "10",
      },
    });
    outgoing.on("error", () => resolve(0));
    outgoing.on("response", (incoming) => {
      incoming.resume();
      resolve(incoming.statusCode ?? 0);
    });
    outgoing.write("hello");
  });

describe("a box whose time to stop is over", () => {
  it.each(["/once/", "/again/"])(
    "says of a request that a server has that it may have run: %s",
    async (path) => {
      const { site, box, ports, lines, start } = await startSite(0, 1, STOP);
      await start();
      const service = site.services[0]!;
      service.setFaults(["silent", "silent"]);
      const asked = ask(ports, { path });
      await waitFor(() => service.countSilent() === 1);
      await box.stop();
      const answer = await asked;
      expect([answer.status, answer.isWhole]).toEqual([502, true]);
      expect(readReason(answer)).toBe("box_is_stopping");
      expect(answer.headers["retry-after"]).toBeUndefined();
      expect(lines).toContainEqual(
        expect.objectContaining({ event: "stop_reached", mayHaveRun: true, events: 0 }),
      );
      expect(lines.at(-1)).toMatchObject({ event: "stopped", open: 0 });
    },
  );

  it("refuses a request that it has not read as not run", async () => {
    const { box, ports, lines, start } = await startSite(0, 1, STOP);
    await start();
    const asked = askUnfinished(ports);
    // Its head was read as soon as a request that was sent later is answered.
    await ask(ports, { path: "/once/" });
    await box.stop();
    expect(await asked).toBe(503);
    expect(lines).toContainEqual(
      expect.objectContaining({ event: "refused", reason: "box_is_stopping" }),
    );
  });

  it("breaks off a stream that has begun, and says so in its log", async () => {
    const { box, ports, lines, start } = await startSite(1, 0, STOP);
    await start();
    let hasBegun = false;
    const asked = ask(ports, {
      path: "/draft/long",
      headers: makeGeneration(300, 3_000),
      deadlineMs: 20_000,
      onData: () => {
        hasBegun = true;
      },
    });
    await waitFor(() => hasBegun);
    await box.stop();
    const answer = await asked;
    expect([answer.status, answer.isWhole]).toEqual([200, false]);
    expect(lines.find(({ event }) => event === "stop_reached")).toMatchObject({
      mayHaveRun: true,
    });
  });

  it("lets a stream go on that ends in time", async () => {
    const { box, ports, lines, start } = await startSite(1, 0, { stopSeconds: 8 });
    await start();
    const { answered } = await beginDraft(ports);
    const stopped = box.stop();
    const answer = await answered;
    expect([answer.status, answer.isWhole]).toEqual([200, true]);
    await stopped;
    expect(countLines(lines, "stop_reached")).toBe(0);
  });

  it("refuses a stream that is taken up while the store is silent", async () => {
    const { site, box, ports, start } = await startSite(1, 0, {
      ...STOP,
      hasProductionTimes: true,
    });
    await start();
    site.store.setMode("silent");
    const asked = ask(ports, {
      path: "/verdict/late",
      headers: { ...makeGeneration(300, 20), "Last-Event-Id": "3", Resumes: "another" },
    });
    const stopped = box.stop();
    const answer = await asked;
    expect([answer.status, answer.isWhole]).toEqual([503, true]);
    await stopped;
  });

  it("ends although the store is silent, and answers what came meanwhile", async () => {
    const { site, box, ports, lines, start } = await startSite(0, 1, {
      stopSeconds: 1,
      hasProductionTimes: true,
    });
    await start();
    const service = site.services[0]!;
    service.setFaults(["silent"]);
    const asked = ask(ports, { path: "/once/" });
    await waitFor(() => service.countSilent() === 1);
    site.store.setMode("silent");
    await box.stop();
    expect((await asked).status).toBe(502);
    expect(lines.at(-1)).toMatchObject({ event: "stopped", open: 0 });
  });

  it("ends earlier if its settings leave it less time meanwhile", async () => {
    const { site, box, ports, start } = await startSite(0, 1, { stopSeconds: 60 });
    await start();
    const service = site.services[0]!;
    service.setFaults(["silent"]);
    const asked = ask(ports, { path: "/once/" });
    await waitFor(() => service.countSilent() === 1);
    const stopped = box.stop();
    box.applySettings(makeSettings(site.store.address, 0.5));
    const answer = await asked;
    expect([answer.status, readReason(answer)]).toEqual([502, "box_is_stopping"]);
    await stopped;
  });

  it("ends its start when it is stopped meanwhile, and leaves no row in the list of boxes", async () => {
    const { site } = await startSite(0, 1, STOP);
    const lines: string[] = [];
    const box = createBox({
      settings: makeSettings(site.store.address, 0.5, "box-2"),
      clock: createSystemClock(),
      log: createLineLog((event) => lines.push(event)),
    });
    const started = box.start().catch(() => undefined);
    await Promise.all([box.stop(), box.stop(), started]);
    expect(lines.filter((event) => event === "stopped")).toHaveLength(1);
    expect(site.store.listKeys("stairgauge-boxes")).toEqual(["box-1"]);
  });
});

describe("a request that one box carries for another", () => {
  /** The first box has lost its paths, and has a request carried by the other that no server answers. */
  const startCarried = async (request: Omit<Ask, "id">) => {
    const { site, fleet, switches } = await startCuttableFleet(2, STOP);
    const [asking, carrier] = fleet as [FleetBox, FleetBox];
    switches[0]!.cut("reset");
    await ask(asking.ports, { path: "/again/first" });
    for (const service of site.services) service.setFaults(["silent"]);
    const asked = ask(asking.ports, request);
    await waitFor(() => site.services.some((service) => service.countSilent() > 0));
    return { asking, carrier, asked };
  };

  it.each(["asking", "carrier"] as const)(
    "is answered when the %s box stops",
    async (stopping) => {
      const { asked, ...boxes } = await startCarried({ path: "/once/" });
      const stopped = boxes[stopping].box.stop();
      const answer = await asked;
      expect([answer.status, answer.isWhole]).toEqual([502, true]);
      await stopped;
      const { lines } = boxes[stopping];
      expect(lines.at(-1)).toMatchObject({ event: "stopped", open: 0 });
      const end = stopping === "carrier" ? "carried_ended" : "stop_reached";
      expect(countLines(lines, end)).toBe(1);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );

  it(
    "is answered when both boxes stop",
    async () => {
      const { asked, asking, carrier } = await startCarried({ path: "/once/" });
      const stopped = [carrier.box.stop(), asking.box.stop()];
      const answer = await asked;
      expect([answer.status, answer.isWhole]).toEqual([502, true]);
      await Promise.all(stopped);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );
});
