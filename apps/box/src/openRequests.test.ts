/**
 * Guards against a kept connection that is closed while a request of it is open: what was passed on to a server must be
 * answered.
 */
import { connect } from "node:net";
import { describe, expect, it } from "vitest";
import { SITE_HOST, SITE_KEY } from "@stairgauge/standins";
import { closers, startSite, waitFor, waitMs } from "./box.testkit.js";

const HEAD = [`Host: ${SITE_HOST}`, `Authorization: Token ${SITE_KEY}`];
const formatRequest = (id: string, lines: readonly string[], version = "1.1") =>
  [`POST /once/x HTTP/${version}`, ...HEAD, `Request-Id: ${id}`, ...lines, "", ""].join(
    "\r\n",
  );
const NO_BODY = "Content-Length: 0";
const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 65_536,
  headerTimeoutMs: 1_000,
  idleTimeoutMs: 15_000,
};

const connectClient = (port: number) => {
  let text = "";
  let isClosed = false;
  const socket = connect({ port, host: "127.0.0.1", noDelay: true });
  closers.push(() => socket.destroy());
  socket.on("error", () => undefined);
  socket.on("close", () => {
    isClosed = true;
  });
  socket.on("data", (bytes: Buffer) => {
    text += bytes.toString();
  });
  const listStatuses = () =>
    [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, code]) => code);
  /** Waits for this many final answers, or the end of the connection. */
  const readStatuses = async (count: number) => {
    await waitFor(
      () => isClosed || listStatuses().filter((code) => code !== "100").length >= count,
    );
    return listStatuses();
  };
  return { socket, readStatuses, isClosed: () => isClosed };
};

describe("a request of a kept connection is answered", () => {
  it("however long its client waits between two, within the idle time", async () => {
    const { site, ports, start } = await startSite(0, 1);
    await start();
    site.putConfiguration({ limits: { ...LIMITS, idleTimeoutMs: 1_000 } });
    await waitMs(100);
    const { socket, readStatuses } = connectClient(ports.clients);
    for (let at = 1; at <= 4; at += 1) {
      socket.write(formatRequest(`r${at}`, [NO_BODY]));
      expect(await readStatuses(at)).toEqual(Array(at).fill("200"));
      await waitMs(800);
    }
  });

  it("while a configuration with other limits comes into force", async () => {
    const { site, ports, lines, start } = await startSite(0, 1);
    await start();
    site.services[0]!.setFaults(["silent"]);
    const { socket, readStatuses } = connectClient(ports.clients);
    socket.write(formatRequest("r1", [NO_BODY]));
    await waitFor(() => site.services[0]!.countSilent() === 1);
    site.putConfiguration({
      limits: { ...LIMITS, idleTimeoutMs: 1, headerTimeoutMs: 1 },
    });
    await waitFor(
      () => lines.filter(({ event }) => event === "configuration_adopted").length === 2,
    );
    expect(await readStatuses(1)).toEqual(["504"]);
  });

  it("that its client sent behind another one when the box was told to stop", async () => {
    const { site, box, ports, start } = await startSite(0, 1, { stopSeconds: 5 });
    await start();
    site.services[0]!.setFaults(["silent"]);
    const { socket, readStatuses } = connectClient(ports.clients);
    socket.write(formatRequest("r1", [NO_BODY]) + formatRequest("r2", [NO_BODY]));
    await waitFor(() => site.services[0]!.countSilent() === 1);
    const stopped = box.stop();
    expect(await readStatuses(2)).toEqual(["504"]);
    await stopped;
    expect(site.services[0]!.listReceived()).toHaveLength(1);
  });

  it.each([
    [
      "an expectation to go on",
      formatRequest("r1", ["Expect: 100-continue", "Content-Length: 5"]),
      "hello",
    ],
    [
      "chunks and trailers",
      formatRequest("r1", ["Transfer-Encoding: chunked", "Trailer: A"]),
      "5\r\nhello\r\n0\r\nA: b\r\n\r\n",
    ],
    [
      "an old version that keeps its connection",
      formatRequest("r1", ["Connection: keep-alive", "Content-Length: 5"], "1.0"),
      "hello",
    ],
    [
      "an upgrade",
      formatRequest("r1", ["Connection: Upgrade", "Upgrade: other", "Content-Length: 5"]),
      "hello",
    ],
  ])("that has %s, and the next one as well", async (_, head, body) => {
    const { ports, start } = await startSite(0, 1);
    await start();
    const { socket, readStatuses } = connectClient(ports.clients);
    socket.write(head);
    await waitMs(50);
    socket.write(body);
    expect((await readStatuses(1)).at(-1)).toBe("200");
    socket.write(formatRequest("r2", [NO_BODY]));
    expect((await readStatuses(2)).filter((code) => code === "200")).toHaveLength(2);
  });

  it("or refused, if it asks for a tunnel", async () => {
    const { ports, start } = await startSite(0, 1);
    await start();
    const { socket, readStatuses, isClosed } = connectClient(ports.clients);
    socket.write(`CONNECT a:1 HTTP/1.1\r\n${HEAD.join("\r\n")}\r\n\r\n`);
    expect(await readStatuses(1)).toEqual(["501"]);
    await waitFor(isClosed);
  });
});
