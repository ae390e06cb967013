/** State of a box in a site of a given size, for measurements of its decisions. */
import type { BoxName, DataHallName, Ms, ServiceName } from "@stairgauge/common";
import { NO_CRASH_UPDATE } from "@stairgauge/crashes";
import type { BackendServer, ServerId, ServerName } from "@stairgauge/directory";
import { NO_LIMIT_UPDATE } from "@stairgauge/limits";
import type { RunUpdate } from "@stairgauge/peers";
import {
  createLoadRegistry,
  type LoadRegistry,
  type PlacedRun,
  type PlaceQuestion,
} from "@stairgauge/placement";

export const HALL = "hall" as DataHallName;
export const SERVICE = "service" as ServiceName;

/** Sizes of the first deployment in docs/hard-load.md. */
const ENGINES = 42;
const PLAIN_SERVERS = 3;
const ENGINE_SLOTS = 24;
const PLAIN_SLOTS = 6;

/** Runs that all engines hold while they are nearly full. */
const RUNS = 800;

const makeServers = (prefix: string, count: number, slots: number) =>
  Array.from({ length: count }, (_, i): BackendServer => ({
    entry: {
      id: `${prefix}-${i}` as ServerId,
      name: `${prefix}-${i}` as ServerName,
      startedAt: undefined,
      service: SERVICE,
      address: { host: "10.0.0.1", port: 80 },
      dataHall: HALL,
      slots,
      isLeaving: false,
      warmUpLeft: 0 as Ms,
    },
    leaving: undefined,
  }));

export const listEngines = () => makeServers("engine", ENGINES, ENGINE_SLOTS);
export const listPlainServers = () => makeServers("plain", PLAIN_SERVERS, PLAIN_SLOTS);

/** Returns the id of the engine of run number `i`. */
export const toEngineId = (i: number) => `engine-${Math.abs(i) % ENGINES}` as ServerId;

/** Makes a run with the mean sizes of long streams. */
export const makeRun = (i: number): PlacedRun => ({
  id: `5f2c9a7e-${i}`,
  promptTokens: 3_079,
  expectedOut: 744,
  hasBegun: i % 2 === 0,
  isMovable: true,
});

/** Creates the records of a hub: the runs of all boxes. */
export const createRegistry = (boxes: number): LoadRegistry => {
  const registry = createLoadRegistry();
  for (let i = 0; i < RUNS; i += 1)
    registry.putPeerRun(`box-${i % boxes}`, { server: toEngineId(i), run: makeRun(i) });
  return registry;
};

/** Makes an update as a box sends it most often: one run placed, one ended. */
export const makeUpdate = (i: number, boxes: number): RunUpdate => ({
  box: `box-${i % boxes}` as BoxName,
  isWhole: false,
  put: [{ server: toEngineId(i), run: makeRun(i) }],
  drop: [{ server: toEngineId(i - boxes), id: makeRun(i - boxes).id }],
  leaving: [],
  reports: [],
  broken: [],
  crashes: NO_CRASH_UPDATE,
  limits: NO_LIMIT_UPDATE,
});

/** Makes a box's question where to place run number `i`. */
export const makeQuestion = (i: number, boxes: number): PlaceQuestion => ({
  box: `box-${i % boxes}` as BoxName,
  run: makeRun(i),
  service: SERVICE,
  tier: 1,
  except: [],
  urgency: { kind: "at_once" },
});
