/** Test helpers that start boxes in front of engines with several software versions, and clients that take streams up. */
import { request as openRequest } from "node:http";
import { HEADER } from "@stairgauge/platform";
import {
  findEventVersion,
  SITE_HOST,
  SITE_KEY,
  startUsersSite,
  startVersionedEngines,
} from "@stairgauge/standins";
import { closers, makeGeneration, waitFor, waitMs } from "./box.testkit.js";
import { startFleet, type FleetBox } from "./fleet.testkit.js";

/** Events of a whole stream, and the time between two of them. */
export const EVENTS = 24;
const EVENT_GAP_MS = 40;

/** A test site: its boxes, and how many engines have which version. */
export type VersionedSite = Readonly<{
  boxes: number;
  versions: readonly string[];
}>;

/** Returns a list with this many copies of each version. */
export const makeVersions = (counts: Readonly<Record<string, number>>) =>
  Object.entries(counts).flatMap(([version, count]) =>
    Array.from({ length: count }, () => version),
  );

/** Starts engines and boxes, and waits until the boxes are linked. */
export const startVersionedSite = async ({ boxes, versions }: VersionedSite) => {
  const site = await startUsersSite({ engines: 0, services: 0 });
  closers.push(site.close);
  const engines = await startVersionedEngines({
    versions,
    events: EVENTS,
    gapMs: EVENT_GAP_MS,
    putEntry: (start) => site.putEngineVersion(start, start.version),
    dropEntry: site.dropEntry,
  });
  closers.push(engines.close);
  site.putConfiguration();
  const { fleet, start } = await startFleet({
    store: site.store.address,
    boxes,
    servers: versions.length,
  });
  return { engines, fleet, start, putWorkspaces: site.putWorkspaces };
};

let nextStream = 0;

/** What one attempt of a client asks for. */
export type StreamAsk = Readonly<{
  id?: string;
  /** Ids of the attempts that the client names as the beginning of the stream. */
  resumes?: string | readonly string[];
  lastEventId?: string | undefined;
  key?: string;
  /** Content of the request, which no two streams of a test share: a repeated content is suspected when servers end. */
  body?: string;
}>;

/** One attempt of a client. */
export type StreamAttempt = Readonly<{
  id: string;
  /** Ids of the events received, with the version that made each. */
  listEvents: () => readonly Readonly<{ id: string; version: string }>[];
  /** Resolves once the answer has ended or its connection has. */
  ended: Promise<Readonly<{ status: number; retryAfter: string | undefined }>>;
  hasBegun: () => boolean;
  /** Closes the connection. */
  leave: () => void;
}>;

/** Opens a stream at a box. */
export const openStream = (
  box: Pick<FleetBox, "ports">,
  ask: StreamAsk = {},
): StreamAttempt => {
  const { id = `s${(nextStream += 1)}`, resumes, lastEventId, key = SITE_KEY } = ask;
  const { body = `prompt of ${id}` } = ask;
  let text = "";
  const outgoing = openRequest({
    host: "127.0.0.1",
    port: box.ports.clients,
    path: "/verdict/1",
    method: "POST",
    agent: false,
    headers: {
      Host: SITE_HOST,
      [HEADER.requestId]: id,
      [HEADER.deadline]: "20000",
      Authorization: `Token ${key}`,
      ...makeGeneration(300, EVENTS),
      ...(resumes !== undefined && { [HEADER.resumes]: resumes as string }),
      ...(lastEventId !== undefined && { [HEADER.lastEventId]: lastEventId }),
    },
  });
  const ended = new Promise<{ status: number; retryAfter: string | undefined }>(
    (resolve) => {
      outgoing.on("error", () => resolve({ status: 0, retryAfter: undefined }));
      outgoing.on("response", (incoming) => {
        incoming.on("data", (chunk: Buffer) => {
          text += chunk.toString();
        });
        incoming.on("error", () => undefined);
        incoming.on("close", () =>
          resolve({
            status: incoming.statusCode ?? 0,
            retryAfter: incoming.headers["retry-after"],
          }),
        );
      });
    },
  );
  outgoing.end(body);
  const listEvents = () =>
    text
      .split("\n\n")
      .slice(0, -1)
      .flatMap((event) => {
        const version = findEventVersion(event);
        return version === undefined
          ? []
          : [{ id: /^id: (\d+)/.exec(event)![1]!, version }];
      });
  return {
    id,
    listEvents,
    ended,
    hasBegun: () => text.includes("\n\n"),
    leave: () => outgoing.destroy(),
  };
};

/** Time for which a client reads a stream before it takes it up elsewhere. */
export const READING_MS = 150;

/** Opens streams at the boxes in turn, and waits until all have begun and their clients have read for a while. */
export const openStreams = async (
  boxes: readonly Pick<FleetBox, "ports">[],
  count: number,
): Promise<readonly StreamAttempt[]> => {
  const streams = Array.from({ length: count }, (_, i) =>
    openStream(boxes[i % boxes.length]!),
  );
  await waitFor(() => streams.every((stream) => stream.hasBegun()));
  await waitMs(READING_MS);
  return streams;
};

/** The events of a stream over all attempts of its client. */
export type StreamOutcome = Readonly<{
  versions: readonly string[];
  isWhole: boolean;
  /** Status of the client's last attempt. */
  status: number;
}>;

const sumUp = (attempts: readonly StreamAttempt[], status: number): StreamOutcome => {
  const events = attempts.flatMap((attempt) => attempt.listEvents());
  const isInOrder = events.every(({ id }, index) => id === String(index));
  return {
    versions: [...new Set(events.map(({ version }) => version))],
    isWhole: isInOrder && events.length === EVENTS,
    status,
  };
};

/** Pauses of a client between its attempts to take a stream up. */
const RETRY_PAUSE_MS = 100;
const MAX_RETRIES = 4;

/** What a client names when it takes a stream up. */
export type TakeUp = Readonly<{
  at: readonly Pick<FleetBox, "ports">[];
  /** The named attempt; by default the first one, none if null. */
  resumes?: string | readonly string[] | null;
  key?: string;
  maxRetries?: number;
}>;

/** Leaves a stream that has begun and takes it up at other boxes in turn, until it goes on or all tries are used up. */
export const takeUp = async (
  first: StreamAttempt,
  { at, resumes = first.id, key, maxRetries = MAX_RETRIES }: TakeUp,
): Promise<StreamOutcome & Readonly<{ retryAfter: string | undefined }>> => {
  first.leave();
  await first.ended;
  const lastEventId = first.listEvents().at(-1)?.id;
  let status = 0;
  let retryAfter: string | undefined;
  for (let tried = 0; tried <= maxRetries; tried += 1) {
    if (tried > 0) await waitMs(RETRY_PAUSE_MS);
    const attempt = openStream(at[tried % at.length]!, {
      ...(resumes !== null && { resumes }),
      ...(key !== undefined && { key }),
      lastEventId,
      body: `prompt of ${first.id}`,
    });
    ({ status, retryAfter } = await attempt.ended);
    if (status === 200) return { ...sumUp([first, attempt], status), retryAfter };
  }
  return { ...sumUp([first], status), retryAfter };
};

/** Reads a stream to its end, and takes it up once where its answer broke off, as clients do. */
export const finishStream = async (
  first: StreamAttempt,
  at: TakeUp["at"],
): Promise<StreamOutcome> => {
  const { status } = await first.ended;
  const outcome = sumUp([first], status);
  return outcome.isWhole ? outcome : takeUp(first, { at });
};

/** Counts the streams that hold events of several versions. */
export const countMixed = (streams: readonly StreamOutcome[]): number =>
  streams.filter(({ versions }) => versions.length > 1).length;

/** Counts the streams that are complete, with each event once and in order. */
export const countWhole = (streams: readonly StreamOutcome[]): number =>
  streams.filter(({ isWhole }) => isWhole).length;
