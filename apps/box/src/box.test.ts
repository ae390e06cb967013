/** One complete box in front of the stand-in platform, on loopback. */
import { request as openRequest } from "node:http";
import { connect } from "node:net";
import { describe, expect, it } from "vitest";
import {
  formatEngineEvent,
  formatServiceBody,
  SITE_HOST,
  SITE_KEY,
  SITE_WORKSPACE,
  startUsersSite,
  type ServiceFault,
} from "@stairgauge/standins";
import {
  ask,
  closers,
  makeGeneration,
  startBox,
  startSite,
  waitFor,
  type Line,
} from "./box.testkit.js";

const formatStream = (id: string, events: number) =>
  Array.from({ length: events }, (_, i) => formatEngineEvent(id, i)).join("");

describe("a box on the users' platform", () => {
  it("answers 503 with Retry-After, never 401 or 404, before it has read a configuration", async () => {
    const { ports } = await startSite();
    const answer = await ask(ports, { path: "/nowhere/" });
    expect(answer.status).toBe(503);
    expect(answer.headers["retry-after"]).toBe("0.4");
  });

  it("passes a request on unchanged, apart from the headers that only the system may set", async () => {
    const { site, ports, start } = await startSite();
    await start();
    const answer = await ask(ports, {
      path: "/once/x?y=1",
      id: "r-1",
      headers: {
        "X-Own": "kept",
        Tenant: "forged",
        "Kv-From": "1.2.3.4:5/x",
        Priority: "0",
      },
      body: "the body",
    });
    expect(answer).toMatchObject({
      status: 200,
      body: formatServiceBody("page-0", "r-1"),
    });
    expect(answer.headers["response-signature"]).toBe("signature-r-1");
    const [received] = site.services[0]!.listReceived();
    expect(received).toMatchObject({
      method: "POST",
      target: "/once/x?y=1",
      body: "the body",
    });
    const headers = new Map<string, string>();
    for (let i = 0; i < received!.headers.length; i += 2)
      headers.set(received!.headers[i]!, received!.headers[i + 1]!);
    expect(headers.get("X-Own")).toBe("kept");
    expect(headers.get("Tenant")).toBe(SITE_WORKSPACE);
    expect(headers.get("Expect-Instance")).toBe("page-0");
    expect(Number(headers.get("Deadline-Ms"))).toBeLessThanOrEqual(2_000);
    for (const name of ["Authorization", "Kv-From", "Priority"])
      expect(headers.has(name)).toBe(false);
  });

  it.each([
    ["/nowhere/", {}, 404],
    ["/once/", { Authorization: "Token another" }, 401],
    ["/open/", { Authorization: "" }, 200],
  ])("answers %s with headers %j by %i", async (path, headers, status) => {
    const { ports, start } = await startSite();
    await start();
    expect((await ask(ports, { path, headers })).status).toBe(status);
  });

  const SOUND = 200;
  it.each<[ServiceFault, number, number]>([
    ["none", SOUND, SOUND],
    ["error", 500, SOUND],
    ["full", 503, SOUND],
    ["bare_503", 502, SOUND],
    ["other_server", 503, SOUND],
    ["unsigned", 502, SOUND],
    ["encoded", 502, SOUND],
    ["crossed", 502, SOUND],
    ["cut", 502, SOUND],
    ["no_answer", 502, SOUND],
    ["unframed", SOUND, SOUND],
    ["unframed_reset", 502, SOUND],
    ["extra", SOUND, SOUND],
    ["garbage", 502, SOUND],
    ["early", SOUND, SOUND],
  ])(
    "after the server fault %s answers %i if the request may run once, %i if it is repeatable",
    async (fault, once, again) => {
      const first = await startSite(0, 1);
      await first.start();
      first.site.services[0]!.setFaults([fault]);
      const answer = await ask(first.ports, { path: "/once/" });
      expect([answer.status, answer.isWhole]).toEqual([once, true]);

      const second = await startSite(0, 2);
      await second.start();
      second.site.services[0]!.setFaults([fault]);
      const repeated = await ask(second.ports, { path: "/again/" });
      expect([repeated.status, repeated.isWhole]).toEqual([again, true]);
    },
  );

  it("spends the retry budget only on failed requests", async () => {
    const { site, ports, lines, start } = await startSite(0, 2, { retrySlack: 8 });
    await start();
    await waitFor(() =>
      lines.some(({ event, boxes }) => event === "peers" && boxes === 1),
    );
    for (let i = 0; i < 40; i += 1) await ask(ports, { path: "/again/" });
    for (const service of site.services) service.setFaults(["error"]);
    const answers = [];
    for (let i = 0; i < 2; i += 1) answers.push(await ask(ports, { path: "/again/" }));
    expect(answers.map(({ status }) => status)).toContain(200);
  });

  it("passes over a server that closes connections without an answer, and logs that", async () => {
    const { site, ports, lines, start } = await startSite(0, 2);
    await start();
    const [broken] = site.services;
    broken!.setFaults(Array.from({ length: 20 }, () => "no_answer" as const));
    for (let i = 0; i < 20; i += 1) await ask(ports, { path: "/once/" });
    // The server is passed over for 0.5 s after the first failure, and for 1 s after the next.
    // Without that about ten requests would reach it.
    expect(broken!.listReceived().length).toBeLessThanOrEqual(3);
    const countReported = () =>
      lines.filter(({ event }) => event === "server_broke_off").length;
    // A health check first shows whether the box has only lost its path.
    await waitFor(() => countReported() >= broken!.listReceived().length);
    expect(countReported()).toBe(broken!.listReceived().length);
  });

  it("sends a request that may run once to one server only", async () => {
    const { site, ports, start } = await startSite(0, 2);
    await start();
    for (const service of site.services) service.setFaults(["no_answer"]);
    expect((await ask(ports, { path: "/once/" })).status).toBe(502);
    const received = site.services.flatMap((service) => service.listReceived());
    expect(received).toHaveLength(1);
  });

  it("answers when the route's time is over, and closes the server's connection", async () => {
    const { site, ports, start } = await startSite();
    await start();
    site.services[0]!.setFaults(["silent"]);
    expect((await ask(ports, { path: "/short/" })).status).toBe(504);
    await waitFor(() => site.services[0]!.countSilent() === 0);
  });

  it("closes the server's connection when the client has left", async () => {
    const { site, ports, start } = await startSite();
    await start();
    site.services[0]!.setFaults(["silent"]);
    const socket = connect(ports.clients, "127.0.0.1");
    socket.write(
      `GET /again/ HTTP/1.1\r\nHost: ${SITE_HOST}\r\nRequest-Id: gone\r\nAuthorization: Token ${SITE_KEY}\r\n\r\n`,
    );
    await waitFor(() => site.services[0]!.countSilent() === 1);
    socket.destroy();
    await waitFor(() => site.services[0]!.countSilent() === 0);
  });

  it("refuses a body that is too large", async () => {
    const { ports, start } = await startSite();
    await start();
    expect((await ask(ports, { path: "/once/", body: "x".repeat(70_000) })).status).toBe(
      413,
    );
    const chunked = { "Transfer-Encoding": "chunked" };
    const answer = await ask(ports, {
      path: "/once/",
      body: "x".repeat(70_000),
      headers: chunked,
    });
    expect(answer.status).toBe(413);
  });

  it("accepts a body in chunks, and one with Expect: 100-continue", async () => {
    const { site, ports, start } = await startSite();
    await start();
    const headers = { "Transfer-Encoding": "chunked" };
    expect((await ask(ports, { path: "/once/", headers, body: "chunks" })).status).toBe(
      200,
    );
    const waiting = { Expect: "100-continue", "Content-Length": "5" };
    expect((await ask(ports, { path: "/once/", headers: waiting })).status).toBe(200);
    const received = site.services[0]!.listReceived();
    expect(received.map(({ body }) => body)).toEqual(["chunks", "hello"]);
    for (const { headers: sent } of received) {
      expect(sent).not.toContain("Expect");
      expect(sent).not.toContain("Transfer-Encoding");
    }
  });

  it("doesn't run a request that is contained in another's body", async () => {
    const { site, ports, start } = await startSite();
    await start();
    const body = `GET /open/ HTTP/1.1\r\nHost: ${SITE_HOST}\r\n\r\n`;
    expect((await ask(ports, { path: "/once/", body })).status).toBe(200);
    expect(site.services[0]!.listReceived().map(({ target }) => target)).toEqual([
      "/once/",
    ]);
  });

  it("answers pipelined requests in order, each with its own answer", async () => {
    const { ports, start } = await startSite(0, 2);
    await start();
    const socket = connect(ports.clients, "127.0.0.1");
    let text = "";
    socket.on("data", (chunk: Buffer) => {
      text += chunk.toString();
    });
    const ids = ["p1", "p2", "p3"];
    for (const id of ids)
      socket.write(
        `GET /once/ HTTP/1.1\r\nHost: ${SITE_HOST}\r\nRequest-Id: ${id}\r\nAuthorization: Token ${SITE_KEY}\r\n\r\n`,
      );
    await waitFor(() => text.match(/answer of/g)?.length === ids.length);
    socket.destroy();
    expect(
      [...text.matchAll(/answer of page-\d to (p\d)/g)].map((match) => match[1]),
    ).toEqual(ids);
  });

  it.each([
    ["two lengths", "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"],
    [
      "a length and chunks",
      "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ],
    ["no valid request line", "\u0000\u0001\r\n\r\n"],
  ])("refuses a request with %s, and runs nothing", async (_name, rest) => {
    const { site, ports, start } = await startSite();
    await start();
    const socket = connect(ports.clients, "127.0.0.1");
    let text = "";
    socket.on("data", (chunk: Buffer) => {
      text += chunk.toString();
    });
    const closed = new Promise((resolve) => socket.once("close", resolve));
    socket.write(
      `POST /once/ HTTP/1.1\r\nHost: ${SITE_HOST}\r\nAuthorization: Token ${SITE_KEY}\r\n${rest}GET /open/ HTTP/1.1\r\n\r\n`,
    );
    await closed;
    expect(text).toMatch(/^HTTP\/1\.1 400 /);
    expect(site.services[0]!.listReceived()).toEqual([]);
  });

  it("adopts a new configuration but no older one, and refuses a removed key", async () => {
    const { site, ports, lines, start } = await startSite();
    await start();
    site.putConfiguration({
      version: 9,
      tenants: [{ name: SITE_WORKSPACE, apiKeys: ["new"] }],
    });
    await waitFor(async () => (await ask(ports, { path: "/once/" })).status === 401);
    site.putConfiguration({ version: 3 });
    await waitFor(() =>
      lines.some(({ event }) => event === "configuration_older_ignored"),
    );
    expect((await ask(ports, { path: "/once/" })).status).toBe(401);
    const headers = { Authorization: "Token new" };
    expect((await ask(ports, { path: "/once/", headers })).status).toBe(200);
  });

  it("keeps its configuration and logs a warning if a new one is unreadable", async () => {
    const { site, ports, lines, start } = await startSite();
    await start();
    site.putConfiguration({ routes: [{ name: 1 }] });
    await waitFor(() => lines.some(({ event }) => event === "configuration_unreadable"));
    expect((await ask(ports, { path: "/once/" })).status).toBe(200);
  });

  it.each(["silent", "busy", "many", "reset"] as const)(
    "accepts no keys while the store is %s, and accepts them again once the store answers",
    async (mode) => {
      const { site, ports, start } = await startSite();
      await start();
      site.store.setMode(mode);
      await waitFor(async () => (await ask(ports, { path: "/once/" })).status === 503);
      expect(
        (await ask(ports, { path: "/open/", headers: { Authorization: "" } })).status,
      ).toBe(200);
      site.store.setMode("up");
      await waitFor(async () => (await ask(ports, { path: "/once/" })).status === 200);
    },
  );

  it.each(["silent", "busy", "reset"] as const)(
    "still accepts its keys while the store is %s if key removal is not strict",
    async (mode) => {
      const { site, ports, lines, start } = await startSite(0, 1, {
        isKeyRemovalStrict: false,
      });
      await start();
      site.store.setMode(mode);
      const statuses = new Set<number>();
      const isPastStrictBound = () => Number(lines.at(-1)?.["versionAgeMs"] ?? 0) > 1_300;
      await waitFor(async () => {
        statuses.add((await ask(ports, { path: "/once/" })).status);
        return isPastStrictBound();
      });
      expect([...statuses]).toEqual([200]);
      const unknownKey = { Authorization: "Token another" };
      expect((await ask(ports, { path: "/once/", headers: unknownKey })).status).toBe(
        503,
      );
      expect((await fetch(`http://127.0.0.1:${ports.ready}/ready`)).status).toBe(200);
    },
  );

  it("reads the whole table again if the store has lost its history, and ignores stale reads", async () => {
    const { site, ports, lines, start } = await startSite();
    await start();
    site.putConfiguration({ version: 5 });
    await waitFor(() => lines.some(({ version }) => version === 5));
    site.putConfiguration({ version: 7, tenants: [{ name: "w", apiKeys: ["new"] }] });
    site.store.serveStaleReads(2);
    site.store.compact();
    await waitFor(() => lines.some(({ version }) => version === 7));
    expect((await ask(ports, { path: "/once/" })).status).toBe(401);
  });

  it("sends no new requests to a leaving server, whether its entry says so or is gone", async () => {
    const { site, ports, lines, start } = await startSite(0, 3);
    await start();
    site.announceLeaving(site.services[0]!);
    site.store.drop("servers", site.services[1]!.id);
    await waitFor(
      () => lines.filter(({ event }) => event === "server_leaving").length === 2,
    );
    for (let i = 0; i < 8; i += 1) await ask(ports, { path: "/once/" });
    expect(site.services.map((service) => service.listReceived().length)).toEqual([
      0, 0, 8,
    ]);
  });

  it("streams the events of a generation, each once and in order", async () => {
    const { ports, start } = await startSite(2, 0);
    await start();
    const answer = await ask(ports, {
      path: "/draft/",
      id: "g1",
      headers: makeGeneration(800, 30),
    });
    expect(answer).toMatchObject({
      status: 200,
      body: formatStream("g1", 30),
      isWhole: true,
    });
  });

  it("moves a run to another engine when its own leaves: one answer, no event missing or repeated", async () => {
    const { site, ports, lines, start } = await startSite(3, 0);
    await start();
    let hasLeft = false;
    const answer = await ask(ports, {
      path: "/draft/",
      id: "g2",
      headers: makeGeneration(800, 200),
      onData: () => {
        if (hasLeft) return;
        hasLeft = true;
        site.announceLeaving(site.engines.find((engine) => engine.countRunning() === 1)!);
      },
    });
    expect(answer).toMatchObject({
      status: 200,
      body: formatStream("g2", 200),
      isWhole: true,
    });
    expect(lines.filter(({ event }) => event === "continued")).toHaveLength(1);
    expect(site.engines.flatMap((engine) => engine.listStarted())).toEqual(["g2"]);
  });

  it("continues a resumable stream at another engine after its last whole event", async () => {
    const { site, ports, start } = await startSite(2, 0);
    await start();
    let hasCrashed = false;
    const answer = await ask(ports, {
      path: "/verdict/",
      id: "g3",
      headers: makeGeneration(400, 150),
      onData: () => {
        if (hasCrashed) return;
        hasCrashed = true;
        site.engines.find((engine) => engine.countRunning() === 1)!.crash();
      },
    });
    expect(answer).toMatchObject({
      status: 200,
      body: formatStream("g3", 150),
      isWhole: true,
    });
  });

  it("asks another server if one is silent and the request may run again", async () => {
    const { site, ports, lines, start } = await startSite(0, 2);
    await start();
    for (const service of site.services) service.setFaults(["silent"]);
    const answer = ask(ports, { path: "/again/x" });
    await waitFor(() => site.services.some((service) => service.countSilent() === 1));
    for (const service of site.services)
      if (service.countSilent() === 0) service.setFaults([]);
    expect((await answer).status).toBe(200);
    expect(lines.filter(({ reason }) => reason === "silent")).toHaveLength(1);
  });

  it("waits for a silent server if the request may run only once", async () => {
    const { site, ports, lines, start } = await startSite(0, 2);
    await start();
    for (const service of site.services) service.setFaults(["silent"]);
    const answer = await ask(ports, {
      path: "/once/x",
      headers: { "Deadline-Ms": "900" },
    });
    expect(answer.status).toBe(504);
    expect(site.services.flatMap((service) => service.listReceived())).toHaveLength(1);
    expect(lines.filter(({ event }) => event === "retry")).toEqual([]);
  });

  it("runs resumable streams at another engine if theirs is silent", async () => {
    const { site, ports, lines, start } = await startSite(2, 0);
    await start();
    site.engines[0]!.freeze();
    const answers = await Promise.all(
      [1, 2, 3, 4].map((index) =>
        ask(ports, {
          path: "/verdict/x",
          id: `r-${index}`,
          headers: makeGeneration(500, 8),
        }),
      ),
    );
    expect(answers.map(({ status, isWhole }) => [status, isWhole])).toEqual(
      Array.from({ length: 4 }, () => [200, true]),
    );
    expect(lines.some(({ reason }) => reason === "silent")).toBe(true);
    expect(site.engines[1]!.listStarted().toSorted()).toEqual([
      "r-1",
      "r-2",
      "r-3",
      "r-4",
    ]);
  });

  it("never ends a stream as complete if its engine crashed", async () => {
    const { site, ports, lines, start } = await startSite(2, 0);
    await start();
    let hasCrashed = false;
    const answer = await ask(ports, {
      path: "/draft/",
      id: "g4",
      headers: makeGeneration(400, 150),
      onData: () => {
        if (hasCrashed) return;
        hasCrashed = true;
        site.engines.find((engine) => engine.countRunning() === 1)!.crash();
      },
    });
    expect(answer.isWhole).toBe(false);
    expect(formatStream("g4", 150).startsWith(answer.body)).toBe(true);
    expect(answer.body.endsWith("\n\n")).toBe(true);
    expect(lines.some(({ event }) => event === "stream_lost")).toBe(true);
  });

  it("stops gracefully: not ready at once, serves open requests, announces the end of each connection", async () => {
    const { site, box, ports, lines, start } = await startSite(0, 1, {
      stopSeconds: 2.5,
    });
    await start();
    const askReady = () =>
      new Promise<number>((resolve) => {
        const outgoing = openRequest({
          host: "127.0.0.1",
          port: ports.ready,
          path: "/ready",
          agent: false,
        });
        outgoing.on("response", (incoming) => {
          incoming.resume();
          resolve(incoming.statusCode ?? 0);
        });
        outgoing.on("error", () => resolve(0));
        outgoing.end();
      });
    expect(await askReady()).toBe(200);
    site.services[0]!.setFaults([]);
    const stopped = box.stop();
    expect(await askReady()).toBe(503);
    const answer = await ask(ports, { path: "/once/" });
    expect(answer.status).toBe(200);
    expect(answer.headers.connection).toBe("close");
    const long = await ask(ports, { path: "/draft/", headers: makeGeneration(800, 900) });
    expect([long.status, long.headers.connection]).toEqual([503, "close"]);
    expect(long.headers["retry-after"]).toBe("0.02");
    await stopped;
    expect(lines.at(-1)).toMatchObject({ event: "stopped" });
    expect(site.store.listKeys("stairgauge-boxes")).toEqual([]);
  });

  it("serves open requests when it is stopped a second time", async () => {
    const { site, box, ports, start } = await startSite(0, 1, { stopSeconds: 2.5 });
    await start();
    site.services[0]!.setFaults(["silent"]);
    const answer = ask(ports, { path: "/short/" });
    await waitFor(() => site.services[0]!.countSilent() === 1);
    const ended: string[] = [];
    const first = box.stop().then(() => ended.push("first"));
    const second = box.stop().then(() => ended.push("second"));
    expect((await answer).status).toBe(504);
    expect(ended).toEqual([]);
    await Promise.all([first, second]);
  });

  it("finds another box through the store and connects to it", async () => {
    const { site, lines, start } = await startSite(1, 0);
    await start();
    const second = await startBox(site.store.address, "box-2");
    const hasBoth = (boxLines: readonly Line[]) =>
      boxLines.some(({ event, boxes }) => event === "peers" && boxes === 2);
    await waitFor(() => hasBoth(lines) && hasBoth(second.lines));
    expect(site.store.listKeys("stairgauge-boxes").toSorted()).toEqual([
      "box-1",
      "box-2",
    ]);
  });

  it("joins the list of boxes although the answers to its writes are lost", async () => {
    const site = await startUsersSite({ engines: 0, services: 0 });
    closers.push(site.close);
    site.store.loseAnswers(1);
    const { lines } = await startBox(site.store.address);
    await waitFor(() =>
      lines.some(({ event, boxes }) => event === "peers" && boxes === 1),
    );
    await waitFor(() => lines.some(({ event }) => event === "membership"));
  });
});
