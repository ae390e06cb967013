/** A box before engines that are processes of their own: what tests of a stream's end share. */
import {
  formatEngineEvent,
  formatWireAsk,
  startUsersSite,
  type UsersSite,
  type WireBirthPlace,
  type WireAsk,
} from "@stairgauge/standins";
import { spawnStandin, type StandinProcess } from "@stairgauge/testkit";
import {
  ask,
  closers,
  makeGeneration,
  KEEPS_KEYS,
  startBox,
  waitUntilKnown,
  type Answer,
  type Line,
} from "./box.testkit.js";

/** Events of each stream. */
export const EVENT_COUNT = 5;

/** The engine that holds streams. */
export const HELD_ENGINE = "engine-held";
const OTHER_ENGINE = "engine-other";

/** Starts an engine process; it ends with the test. */
export const spawnEngine = async (
  id: string,
  args: readonly string[] = [],
  port = 0,
): Promise<StandinProcess> => {
  const engine = await spawnStandin(["users-engine", "--id", id, ...args], port);
  closers.push(() => destroyEngine(engine));
  return engine;
};

/** Kills an engine and waits until its process is gone. */
export const destroyEngine = async ({ process }: StandinProcess): Promise<void> => {
  process.kill("SIGKILL");
  await process.waitForExit();
};

/** By what may be done with a request: streams that a new run may resume or not, and plain answers likewise. */
export type AskKind = "resumable" | "once" | "plain again" | "plain once";

/** A request whose answer is to be held. */
export type HeldAsk = Readonly<{ id: string; kind: AskKind; ask: WireAsk }>;

/** A held answer and, later, what its client got. */
export type HeldStream = HeldAsk & Readonly<{ answer: Promise<Answer> }>;

/** A stream whole, as it is made wherever it runs. */
export const formatWhole = ({ id, ask: { hasCarriageReturns } }: HeldAsk): string => {
  const text = Array.from({ length: EVENT_COUNT }, (_, i) =>
    formatEngineEvent(id, i),
  ).join("");
  return hasCarriageReturns ? text.replaceAll("\n", "\r\n") : text;
};

/** A box whose streams are held at one engine, and that knows another one. */
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

/** A body of which a part stays in the socket of an engine that does not read it. */
const LARGE_BODY = "x".repeat(400_000);

const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 2 * LARGE_BODY.length,
  headerTimeoutMs: 1_000,
  idleTimeoutMs: 15_000,
};

/** Puts a server in the list as what the requests want. */
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
) =>
  isPlain ? site.putService(id, address) : site.putEngine(id, address, "ready", born);

/** When an engine started, in Unix milliseconds, and where it says so. */
export type EngineBirth = Readonly<{ at: number; saidIn: WireBirthPlace }>;

/** What may be different about a box before held streams. */
export type HeldChanges = Readonly<{
  deadlineMs?: number | undefined;
  birth?: EngineBirth | undefined;
}>;

/** Gives the arguments by which an engine process is told its start. */
export const formatBirth = (birth: EngineBirth | undefined): readonly string[] =>
  birth ? ["--born", String(birth.at), "--born-in", birth.saidIn] : [];

/** Has all answers held at one server, then lets the box know the other one. */
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
  const { ports, lines } = await startBox(site.store.address, "box-1", KEEPS_KEYS);
  site.putConfiguration({ limits: LIMITS });
  const [held, other] = await spawning;
  putServer(site, { id: HELD_ENGINE, address: held.address, isPlain, born: birth?.at });
  await waitUntilKnown(lines, 1);
  const streams = asks.map((one) => ({
    ...one,
    answer: ask(ports, {
      path: `${PATHS[one.kind]}?${formatWireAsk(one.ask)}`,
      id: one.id,
      body: one.ask.isBodyLeft ? LARGE_BODY : "hello",
      deadlineMs,
      ...(!isPlain && { headers: makeGeneration(400, EVENT_COUNT) }),
    }),
  }));
  for (const { id } of asks) await held.process.waitForLine(new RegExp(`^held ${id}$`));
  putServer(site, { id: OTHER_ENGINE, address: other.address, isPlain });
  await waitUntilKnown(lines, 2);
  return { site, lines, held, streams };
};
