/** Test helpers that start a box in front of engines which run as separate processes. */
import { TABLE } from "@stairgauge/platform";
import {
  formatEngineEvent,
  formatStreamQuery,
  startUsersSite,
  type UsersSite,
  type StartTimeLocation,
  type WireStreamOptions,
} from "@stairgauge/standins";
import { spawnStandin, type StandinProcess } from "@stairgauge/testkit";
import {
  ask,
  closers,
  makeGeneration,
  LENIENT_KEY_REMOVAL,
  startBox,
  waitUntilRead,
  type Answer,
  type Line,
} from "./box.testkit.js";

/** Number of events in each stream. */
export const EVENT_COUNT = 5;

/** The engine that pauses its streams. */
export const HELD_ENGINE = "engine-held";
const OTHER_ENGINE = "engine-other";

/** Starts an engine process, which is killed after the test. */
export const spawnEngine = async (
  id: string,
  args: readonly string[] = [],
  port = 0,
): Promise<StandinProcess> => {
  const engine = await spawnStandin(["users-engine", "--id", id, ...args], port);
  closers.push(() => destroyEngine(engine));
  return engine;
};

/** Kills an engine and waits until its process has exited. */
export const destroyEngine = async ({ process }: StandinProcess): Promise<void> => {
  process.kill("SIGKILL");
  await process.waitForExit();
};

/**
 * Kinds of requests: streams that may or may not be resumed by a new run, and plain requests
 * that may or may not be repeated.
 */
export type AskKind = "resumable" | "once" | "plain again" | "plain once";

/** A request whose answer is paused by the server. */
export type HeldAsk = Readonly<{ id: string; kind: AskKind; ask: WireStreamOptions }>;

/** A paused request and its answer. */
export type HeldStream = HeldAsk & Readonly<{ answer: Promise<Answer> }>;

/** Formats the complete stream, which is the same on every engine. */
export const formatWhole = ({ id, ask: { hasCarriageReturns } }: HeldAsk): string => {
  const text = Array.from({ length: EVENT_COUNT }, (_, i) =>
    formatEngineEvent(id, i),
  ).join("");
  return hasCarriageReturns ? text.replaceAll("\n", "\r\n") : text;
};

/** A box whose streams are paused at one engine and which has a second engine in its list. */
export type HeldSite = Readonly<{
  site: UsersSite;
  lines: readonly Line[];
  held: StandinProcess;
  streams: readonly HeldStream[];
}>;

const PATHS: Readonly<Record<AskKind, string>> = {
  resumable: "/verdict/",
  once: "/draft/",
  "plain again": "/again/",
  "plain once": "/once/",
};

/** A body so large that a part stays in the socket of an engine that doesn't read it. */
const LARGE_BODY = "x".repeat(400_000);

const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 2 * LARGE_BODY.length,
  headerTimeoutMs: 1_000,
  idleTimeoutMs: 15_000,
};

/** Adds a server to the list as the kind that the requests need. */
const putServer = (
  site: UsersSite,
  {
    id,
    address,
    isPlain,
    born,
  }: Readonly<{
    id: string;
    address: string;
    isPlain: boolean;
    born?: number | undefined;
  }>,
) => {
  if (!isPlain) {
    site.putEngine(id, address, "ready", born);
    return;
  }
  site.putService(id, address);
  site.store.change(TABLE.servers, id, { slots: PLAIN_SLOTS });
};

/**
 * Slots that a plain server states: more than the requests it holds, as requests beyond a server's slots
 * wait at the box.
 */
const PLAIN_SLOTS = 64;

/** Start time of an engine in Unix ms, and the part of its answers that contains it. */
export type EngineBirth = Readonly<{ at: number; saidIn: StartTimeLocation }>;

/** Options of a site with paused streams. */
export type HeldChanges = Readonly<{
  deadlineMs?: number | undefined;
  birth?: EngineBirth | undefined;
}>;

/** Formats the start time as arguments of an engine process. */
export const formatBirth = (birth: EngineBirth | undefined): readonly string[] =>
  birth ? ["--born", String(birth.at), "--born-in", birth.saidIn] : [];

/** Starts streams that are paused at one server, and then adds the other one to the list. */
export const startHeldStreams = async (
  asks: readonly HeldAsk[],
  { deadlineMs = 10_000, birth }: HeldChanges = {},
): Promise<HeldSite> => {
  const spawning = Promise.all([
    spawnEngine(HELD_ENGINE, ["--holds", ...formatBirth(birth)]),
    spawnEngine(OTHER_ENGINE),
  ]);
  const isPlain = asks.some(({ kind }) => kind.startsWith("plain"));
  const site = await startUsersSite({ engines: 0, services: 0 });
  closers.push(site.close);
  const { ports, lines } = await startBox(
    site.store.address,
    "box-1",
    LENIENT_KEY_REMOVAL,
  );
  site.putConfiguration({ limits: LIMITS });
  const [held, other] = await spawning;
  putServer(site, { id: HELD_ENGINE, address: held.address, isPlain, born: birth?.at });
  await waitUntilRead(lines, 1);
  const streams = asks.map((one) => ({
    ...one,
    answer: ask(ports, {
      path: `${PATHS[one.kind]}?${formatStreamQuery(one.ask)}`,
      id: one.id,
      body: one.ask.isBodyLeft ? LARGE_BODY : "hello",
      deadlineMs,
      ...(!isPlain && { headers: makeGeneration(400, EVENT_COUNT) }),
    }),
  }));
  for (const { id } of asks) await held.process.waitForLine(new RegExp(`^held ${id}$`));
  putServer(site, { id: OTHER_ENGINE, address: other.address, isPlain });
  await waitUntilRead(lines, 2);
  return { site, lines, held, streams };
};
