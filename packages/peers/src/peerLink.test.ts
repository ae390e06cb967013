/**
 * Guards against a link whose stream is never opened, or stays open without the state, because that could not be made once;
 * against updates that fill the memory while the other box reads none; and against a closed link that goes on.
 */
import { Server, ServerCredentials, type ServerDuplexStream } from "@grpc/grpc-js";
import { afterEach, expect, it } from "vitest";
import {
  collectRejections,
  createSeededRandom,
  createSystemClock,
  createVirtualClock,
  type BoxName,
  type Ms,
} from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { INITIAL_REVISION } from "@stairgauge/storefeed";
import { makeNotice } from "./makeNotice.js";
import { makeRunUpdate } from "./makeRunUpdate.js";
import { openPeerLink, type PeerLink, type PeerLinkOptions } from "./peerLink.js";
import { createPeerService } from "./service.js";
import type { HubNotice, RunUpdate } from "./types.js";

const closers: (() => void)[] = [];
afterEach(() => {
  for (const close of closers.splice(0)) close();
});

const own = "box-1" as BoxName;
const service = createPeerService(() => undefined);

/** Resolves to the port of loopback at which the server listens; it ends with the test. */
const startListening = (server: Server): Promise<number> => {
  closers.push(server.forceShutdown.bind(server));
  return new Promise((resolve) =>
    server.bindAsync("127.0.0.1:0", ServerCredentials.createInsecure(), (_, bound) =>
      resolve(bound),
    ),
  );
};

/** Opens a link to the other box at a port of loopback; it ends with the test. */
const openLink = (
  port: number,
  options: Partial<PeerLinkOptions> & Pick<PeerLinkOptions, "clock">,
): PeerLink => {
  const address = { host: "127.0.0.1", port };
  const link = openPeerLink(
    { box: "box-2" as BoxName, address, capacity: 1, dataHall: undefined },
    {
      random: createSeededRandom(1),
      service,
      makeWhole: () => makeRunUpdate(own, { isWhole: true }),
      onNotice: () => undefined,
      ...options,
    },
  );
  closers.push(link.close);
  return link;
};

/** The test's own time limit ends it. */
const waitUntil = async (isMet: () => boolean) => {
  while (!isMet()) await new Promise((resolve) => setTimeout(resolve, 10));
};

it("a link opens its stream later if the state to be sent first can't be made, and passes the error on", async () => {
  const clock = createVirtualClock();
  let tries = 0;
  const errors = await collectRejections(async () => {
    openLink(9, {
      clock,
      makeWhole: () => {
        tries += 1;
        if (tries <= 2) throw new Error("odd");
        return makeRunUpdate(own, { isWhole: true });
      },
    });
    for (let i = 0; i < 3; i += 1) {
      await Promise.resolve().then(() => undefined);
      clock.advance(1_000 as Ms);
    }
  });
  expect(tries).toBe(3);
  expect(errors).toEqual([new Error("odd"), new Error("odd")]);
});

it("a link opens its stream anew if the other box reads none of thousands of updates", async () => {
  let streams = 0;
  const server = new Server();
  server.addService(
    { reportRuns: service.reportRuns },
    { reportRuns: () => (streams += 1) },
  );
  const port = await startListening(server);
  const link = openLink(port, { clock: createSystemClock() });
  const update = makeRunUpdate(own, {
    broken: Array.from({ length: 100 }, (_, i) => `server-${i}` as ServerId),
  });
  await waitUntil(() => streams >= 1);
  for (let i = 0; i < 3_000; i += 1) link.write(update);
  await waitUntil(() => streams >= 2);
  expect(streams).toBe(2);
});

it("a link that is closed behind 600 questions that were given up is over for both boxes, whose cancellations wait", async () => {
  const notices: HubNotice[] = [];
  let updates: ServerDuplexStream<RunUpdate, HubNotice> | undefined;
  let hasEnded = false;
  const server = new Server();
  server.addService(
    { reportRuns: service.reportRuns, askTable: service.askTable },
    {
      askTable: () => undefined,
      reportRuns: (stream: ServerDuplexStream<RunUpdate, HubNotice>) => {
        updates = stream.on("end", () => {
          hasEnded = true;
        });
        stream.resume();
      },
    },
  );
  const port = await startListening(server);
  const link = openLink(port, {
    // Its time stands still: cancellations beyond the first 500 wait.
    clock: createVirtualClock(),
    onNotice: (notice) => notices.push(notice),
  });
  await waitUntil(() => updates !== undefined);
  const givenUp = new AbortController();
  const asked = Array.from({ length: 600 }, () =>
    link.askTable(
      { kind: "whole", table: "servers", atLeast: INITIAL_REVISION },
      givenUp.signal,
    ),
  );
  givenUp.abort();
  await Promise.all(asked);
  link.close();
  updates?.write(makeNotice({}));
  await waitUntil(() => hasEnded);
  expect(notices).toEqual([]);
});
