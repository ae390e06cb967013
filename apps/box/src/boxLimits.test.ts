/** A box near its limits: descriptors, memory, and its share of a server's connections. */
import { connect, type Socket } from "node:net";
import { describe, expect, it } from "vitest";
import { parseBoxSettings } from "@stairgauge/settings";
import { formatBoxSettings, SITE_HOST, SITE_KEY } from "@stairgauge/standins";
import { ask, closers, startSite, waitFor, waitMs } from "./box.testkit.js";

const openClient = (port: number) => {
  const socket = connect({ host: "127.0.0.1", port });
  socket.on("error", () => undefined);
  closers.push(() => socket.destroy());
  return socket;
};
const isEnded = (socket: Socket) => socket.closed || socket.readableEnded;

describe("a box near its limits", () => {
  it("closes a connection unread if there are too many with a request for its descriptors, and serves the others", async () => {
    const { ports, lines, start } = await startSite(0, 1, {
      more: "limits: { descriptors: 400 }",
    });
    await start();
    const sockets = Array.from({ length: 16 }, () => openClient(ports.clients));
    await waitFor(() => sockets.every((socket) => socket.readyState === "open"));
    // Requests of a route whose time limit is long, whose bodies don't end.
    const head = `POST /draft/x HTTP/1.1\r\nHost: ${SITE_HOST}\r\nAuthorization: Token ${SITE_KEY}`;
    for (const socket of sockets)
      socket.write(`${head}\r\nTransfer-Encoding: chunked\r\n\r\n`);
    await waitMs(300);
    const refused = openClient(ports.clients);
    refused.resume();
    await waitFor(() => isEnded(refused));
    expect(lines).toContainEqual({
      event: "client_fault",
      listener: "clients",
      code: "too_many_connections",
    });
    expect(sockets.filter(isEnded)).toEqual([]);
    sockets[0]!.destroy();
    const answers: number[] = [];
    await waitFor(async () => {
      answers.push((await ask(ports, { path: "/once/x" })).status);
      return answers.at(-1) === 200;
    });
  });

  it("refuses a body that exceeds its memory as not run, and accepts it once others are finished", async () => {
    const { site, ports, start } = await startSite(0, 1, {
      more: "clients: { heldMb: 0.001 }",
    });
    await start();
    const [service] = site.services;
    service!.setFaults(["silent"]);
    const held = ask(ports, { path: "/short/x", body: "x".repeat(600) });
    await waitFor(() => service!.countSilent() === 1);
    const refused = await ask(ports, { path: "/once/x", body: "x".repeat(600) });
    expect(refused).toMatchObject({ status: 503, headers: { connection: "close" } });
    expect(refused.headers["retry-after"]).toBeDefined();
    expect(service!.listReceived()).toHaveLength(1);
    await held;
    const taken = await ask(ports, { path: "/once/x", body: "x".repeat(600) });
    expect(taken.status).toBe(200);
  });

  it("counts bodies that are still being read against its memory, fewer of them without a key, and gives one up for a whole body", async () => {
    const { ports, start } = await startSite(0, 1, { more: "clients: { heldMb: 0.08 }" });
    await start();
    const refused: string[] = [];
    const beginUpload = (key: string) => {
      const socket = openClient(ports.clients);
      const name = `Authorization: Token ${key}`;
      const head = `POST /once/x HTTP/1.1\r\nHost: ${SITE_HOST}\r\n${name}\r\nTransfer-Encoding: chunked`;
      socket.write(`${head}\r\n\r\n2000\r\n${"x".repeat(8_192)}\r\n`);
      socket.once("data", (bytes) => refused.push(bytes.toString().slice(9, 12)));
    };
    const beginUploads = async (key: string, held: number) => {
      refused.length = 0;
      for (let at = 0; at < 12; at += 1) beginUpload(key);
      await waitFor(() => refused.length >= 12 - held);
      expect(refused).toEqual(Array(12 - held).fill("503"));
    };
    await beginUploads("none", 1);
    await beginUploads(SITE_KEY, 9);
    const whole = await ask(ports, { path: "/once/x", body: "x".repeat(5_000) });
    expect(whole.status).toBe(200);
    await waitFor(() => refused.length === 4);
    expect(refused).toEqual(Array(4).fill("503"));
  });

  it("refuses a request whose body has not come within its time limit as not run", async () => {
    const { ports, start } = await startSite(0, 1);
    await start();
    const socket = openClient(ports.clients);
    let received = "";
    socket.on("data", (bytes) => {
      received += bytes.toString();
    });
    const head = `POST /short/x HTTP/1.1\r\nHost: ${SITE_HOST}\r\nAuthorization: Token ${SITE_KEY}`;
    socket.write(`${head}\r\nContent-Length: 10\r\n\r\nhalf`);
    await waitFor(() => isEnded(socket));
    expect(received).toMatch(/^HTTP\/1.1 408 [^]*Connection: close[^]*body_too_late/);
  });

  it("opens no more than its share of the connections that a server accepts", async () => {
    const { site, ports, lines, start } = await startSite(0, 1, { stopSeconds: 1 });
    await start();
    await waitFor(() =>
      lines.some(({ event, boxes }) => event === "peers" && boxes === 1),
    );
    site.limitConnections(5);
    await waitFor(
      () => lines.filter(({ event }) => event === "configuration_adopted").length === 2,
    );
    const [service] = site.services;
    service!.setFaults(["silent", "silent", "silent"]);
    const held = [1, 2, 3].map(() => ask(ports, { path: "/short/x" }));
    await waitFor(() => service!.countSilent() === 3);
    expect((await ask(ports, { path: "/once/x" })).status).toBe(503);
    expect(service!.listReceived()).toHaveLength(3);
    await Promise.all(held);
    expect((await ask(ports, { path: "/once/x" })).status).toBe(200);
  });
});

describe("formatBoxSettings", () => {
  it("formats valid settings of a box", () => {
    const parsed = parseBoxSettings(
      formatBoxSettings({
        name: "box-1",
        storeAddress: "127.0.0.1:9000",
        firstPort: 8100,
      }),
    );
    expect(parsed.ok && parsed.val.listen.peers).toBe("127.0.0.1:8103");
  });
});
