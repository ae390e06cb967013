/**
 * Registry of servers' service times, from the observations of this box and of others. Pure but for
 * the clock passed in.
 *
 * It addresses loads on servers of different speed: without it, a slow server gets as many requests as
 * it has free slots, whatever each of them takes. All of it is advisory; it is lost with the box and
 * learned again within seconds.
 */
import {
  dropOldest,
  type BoxName,
  type Clock,
  type Ms,
  type ServiceName,
} from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import {
  EXPIRY_MS,
  HALF_LIFE_MS,
  MAX_SERVERS,
  MAX_SHARED,
  PROBE_INTERVAL,
  ESTIMATE_VIEW_MS,
  VIEW_MS,
} from "./constants.js";
import { createEventLimit } from "./eventLimit.js";
import {
  addSums,
  MEASURES,
  mergeSums,
  toSums,
  type PaceRecord,
  type PaceSums,
} from "./paceRecord.js";
import { computeServicePace } from "./servicePace.js";
import { computeWeight, type Track } from "./track.js";
import type {
  PaceEstimate,
  PaceEvent,
  PaceObservation,
  PaceSample,
  ServicePace,
  SharedPace,
} from "./types.js";

/** Options of a registry. */
export type PaceRegistryOptions = Readonly<{
  /** Clock for ages. It must include the time in which the machine is suspended. */
  clock: Pick<Clock, "monotonic">;
  /** Whether a server is listed. What other boxes report for unlisted servers is ignored. */
  isListed: (server: ServerId) => boolean;
  onEvent: (event: PaceEvent) => void;
  /** Gets each sample of this box beside what was expected. */
  onObservation: (observation: PaceObservation) => void;
}>;

/** What the choice of a server uses of the registry. */
export type PaceReader = Readonly<{
  /** Service times of a service's servers; undefined if none is on record. */
  readService: (service: ServiceName) => ServicePace | undefined;
  /**
   * Whether a request has to go to a server whose weight is low, so that its service time is known
   * again. Called for each request for which there is such a server.
   */
  takeProbe: (service: ServiceName) => boolean;
}>;

/** The service times on record at one box. */
export type PaceRegistry = PaceReader &
  Readonly<{
    /** Records a sample of this box, to be passed on to other boxes. */
    record: (sample: PaceSample) => void;
    /** Records a sample that other boxes derive or receive by themselves. */
    recordUnshared: (sample: PaceSample) => void;
    /** Records that an engine is in a slow period; passed on at once by the caller. */
    recordSlow: (server: ServerId, service: ServiceName) => void;
    estimate: (server: ServerId, service: ServiceName) => PaceEstimate | undefined;
    /** Returns what this box has observed since the last call, by server; at most 64 servers. */
    takeChanges: () => readonly SharedPace[];
    /** Handles what another box has observed. */
    applyShared: (paces: readonly SharedPace[], by: BoxName) => void;
    /** Returns the estimates of plain servers whose service times are uneven; at most 64 servers. */
    listUneven: () => readonly SharedPace[];
    /** Handles the estimates of a hub, which contain the observations of all boxes. */
    applyEstimates: (paces: readonly SharedPace[], by: BoxName) => void;
    countUneven: () => number;
    drop: (server: ServerId) => void;
  }>;

type View = Readonly<{ at: number; pace: ServicePace }>;

/** Returns the track with more weight; both are of the same measure. */
const selectTrack = (
  one: Track | undefined,
  other: Track | undefined,
  now: number,
): Track | undefined => {
  if (!one || !other) return one ?? other;
  const [first, second] = [one, other].map((track) =>
    computeWeight(track, now, HALF_LIFE_MS.answer),
  );
  return second! > first! ? other : one;
};

/** Creates an empty registry. */
export const createPaceRegistry = (options: PaceRegistryOptions): PaceRegistry => {
  const { clock, isListed, onObservation } = options;
  const limitEvent = createEventLimit(options.onEvent);
  const records = new Map<ServerId, PaceRecord>();
  /** Estimates of hubs for plain servers. */
  const estimates = new Map<ServerId, Track & Readonly<{ service: ServiceName }>>();
  const pending = new Map<
    ServerId,
    PaceSums & Readonly<{ service: ServiceName; at: number }>
  >();
  const views = new Map<ServiceName, View>();
  const requestsSinceProbe = new Map<ServiceName, number>();

  const expire = (now: number) => {
    for (const [server, { at }] of records)
      if (now - at > EXPIRY_MS) records.delete(server);
    for (const [server, { at }] of estimates)
      if (now - at > EXPIRY_MS) estimates.delete(server);
  };
  const listRecords = (service: ServiceName, now: number) => {
    const listed = new Map<ServerId, PaceRecord>();
    for (const [server, record] of records)
      if (record.service === service) listed.set(server, record);
    for (const [server, shared] of estimates) {
      if (shared.service !== service) continue;
      const own = listed.get(server);
      const answer = selectTrack(own?.tracks.answer, shared, now);
      listed.set(server, {
        ...(own ?? {
          service,
          readings: [],
          gaps: undefined,
          slowAt: undefined,
          at: shared.at,
        }),
        tracks: { ...own?.tracks, ...(answer && { answer }) },
      });
    }
    return listed;
  };
  const readWithin = (
    service: ServiceName,
    maxAgeMs: number,
  ): ServicePace | undefined => {
    const now = clock.monotonic();
    const known = views.get(service);
    if (known && now - known.at < maxAgeMs) return known.pace;
    expire(now);
    const listed = listRecords(service, now);
    if (listed.size === 0) {
      views.delete(service);
      return undefined;
    }
    const pace = computeServicePace(listed, now, known?.pace.isUneven ?? false);
    views.set(service, { at: now, pace });
    return pace;
  };

  const readService = (service: ServiceName) => readWithin(service, VIEW_MS);
  const expireView = (service: ServiceName) => {
    const known = views.get(service);
    if (known) views.set(service, { ...known, at: -Infinity });
  };

  const listUnevenServices = (): readonly ServiceName[] => {
    const services = new Set([...records.values()].map(({ service }) => service));
    return [...services].filter((service) => readService(service)?.isUneven);
  };

  const putRecord = (server: ServerId, record: PaceRecord) => {
    // Maps keep the order of insertion, so the first one is the one without a sample for longest.
    records.delete(server);
    records.set(server, record);
    dropOldest(records, MAX_SERVERS);
  };
  const addToRecord = (
    server: ServerId,
    sums: PaceSums,
    from: Readonly<{ service: ServiceName; at: number; by: BoxName | undefined }>,
  ) => {
    const findPrior = (measure: (typeof MEASURES)[number]) => {
      const median = readService(from.service)?.findMedian(measure);
      return median === undefined ? undefined : Math.log(median);
    };
    const record = addSums(records.get(server), sums, { ...from, findPrior });
    putRecord(server, record);
    if (sums.isSlow) expireView(from.service);
    const now = clock.monotonic();
    limitEvent.onRecord({ server, record, now, by: from.by });
  };
  const addSample = (sample: PaceSample): PaceSums | undefined => {
    const { server, service } = sample;
    const sums = toSums(sample);
    if (!sums) return undefined;
    const expected = readService(service)?.estimate(server);
    for (const measure of MEASURES) {
      const [sum, known] = [sums[measure], expected?.[measure]];
      if (sum && known) onObservation({ measure, ratio: known.value / sum.mean });
    }
    addToRecord(server, sums, { service, at: clock.monotonic(), by: undefined });
    return sums;
  };

  return {
    readService,
    takeProbe: (service) => {
      const count = (requestsSinceProbe.get(service) ?? 0) + 1;
      const isDue = count >= PROBE_INTERVAL;
      requestsSinceProbe.set(service, isDue ? 0 : count);
      return isDue;
    },
    record: (sample) => {
      const sums = addSample(sample);
      if (!sums) return;
      const { server, service } = sample;
      if (!pending.has(server) && pending.size >= MAX_SERVERS) return;
      const merged = mergeSums(pending.get(server), sums);
      pending.set(server, { ...merged, service, at: clock.monotonic() });
    },
    recordSlow: (server, service) =>
      addToRecord(
        server,
        { isSlow: true },
        { service, at: clock.monotonic(), by: undefined },
      ),
    recordUnshared: (sample) => void addSample(sample),
    estimate: (server, service) =>
      readWithin(service, ESTIMATE_VIEW_MS)?.estimate(server),
    takeChanges: () => {
      const now = clock.monotonic();
      const taken = [...pending].slice(0, MAX_SHARED);
      for (const [server] of taken) pending.delete(server);
      return taken
        .filter(([, { at }]) => now - at <= EXPIRY_MS)
        .map(([server, { at, ...sums }]) => ({ server, ...sums, age: (now - at) as Ms }));
    },
    applyShared: (paces, by) => {
      const now = clock.monotonic();
      for (const { server, service, age, ...sums } of paces)
        if (age <= EXPIRY_MS && isListed(server))
          addToRecord(server, sums, { service, at: now - age, by });
    },
    listUneven: () => {
      const now = clock.monotonic();
      const listed: SharedPace[] = [];
      for (const uneven of listUnevenServices()) {
        for (const [server, { service, tracks }] of records) {
          const { answer } = tracks;
          if (!answer || service !== uneven) continue;
          listed.push({
            server,
            service,
            age: (now - answer.at) as Ms,
            answer: { weight: answer.weight, mean: Math.exp(answer.logMean) },
          });
        }
      }
      return listed.slice(-MAX_SHARED);
    },
    applyEstimates: (paces) => {
      const now = clock.monotonic();
      for (const { server, service, age, answer } of paces) {
        if (!answer || age > EXPIRY_MS || !isListed(server)) continue;
        const { weight, mean } = answer;
        // Each hub sends the whole estimate, so the newest replaces the one before.
        estimates.delete(server);
        estimates.set(server, {
          service,
          logMean: Math.log(mean),
          weight,
          at: now - age,
        });
        dropOldest(estimates, MAX_SERVERS);
      }
    },
    countUneven: () => listUnevenServices().length,
    drop: (server) => {
      const service = records.get(server)?.service;
      if (service !== undefined) views.delete(service);
      records.delete(server);
      estimates.delete(server);
      pending.delete(server);
      limitEvent.drop(server);
    },
  };
};
