/**
 * Chooses the server of a plain request: the least busy one, or the one with the least expected time
 * to the answer while service times are uneven. Pure but for the random source passed in.
 *
 * At 100 requests per second on four servers, one of them six times slower, the slow one got 12 to
 * 24 % of the requests by free slots alone, and the slowest 5 % of answers took more than 126 ms.
 */
import type { BackendServer, ServerId } from "@stairgauge/directory";
import type { PaceReader, ServicePace } from "@stairgauge/pace";
import type { ChoiceInputs, Scored } from "./choice.js";
import { pickLeast } from "./pickLeast.js";

/** Cost of sending to another data hall, as a share of a plain server's slots: about 3 of 20 ms. */
const OTHER_HALL_COST = 0.15;

/**
 * Expected times up to this factor above the least count as equal, and the least busy of these
 * servers is chosen. Estimates are up to a second old at boxes that get them from hubs; all boxes
 * would send to the one server that was fastest then.
 */
const EQUAL_FACTOR = 1.2;

/** A server whose samples have decayed to less than this is probed. */
const PROBED_WEIGHT = 1;

const scoreByLoad = (server: BackendServer, inputs: ChoiceInputs): Scored => {
  const { entry } = server;
  const { countAt = inputs.registry.countOpen } = inputs;
  const open = countAt(entry.id);
  const way = entry.dataHall === inputs.ownHall ? 0 : OTHER_HALL_COST;
  const load = (open + 1) / Math.max(1, entry.slots) + way;
  return { server, cost: load, load, memoryAfter: undefined, reportAge: undefined };
};

type TimedScore = Scored & Readonly<{ expectedMs: number; weight: number }>;

const scoreByTime = (
  server: BackendServer,
  inputs: ChoiceInputs,
  pace: ServicePace,
): TimedScore => {
  const { entry } = server;
  const { registry, ownHall } = inputs;
  const { value = 1, weight = 0 } = pace.estimate(entry.id).answer ?? {};
  const countKnown = (id: ServerId) =>
    registry.countOpen(id) + registry.countPeerRuns(id);
  const there = (inputs.countAt ?? countKnown)(entry.id);
  const inTurn = Math.max(1, (there + 1) / Math.max(1, entry.slots));
  const wayMs =
    entry.dataHall === ownHall ? 0 : OTHER_HALL_COST * (pace.findMedian("answer") ?? 0);
  return {
    ...scoreByLoad(server, inputs),
    expectedMs: value * inTurn + wayMs,
    weight,
  };
};

/** Returns the servers that are due for a request that shows how fast they are now. */
const listProbed = (scored: readonly TimedScore[], pace: PaceReader) => {
  const unsure = scored.filter(({ weight }) => weight < PROBED_WEIGHT);
  const service = unsure[0]?.server.entry.service;
  return service !== undefined && pace.takeProbe(service) ? unsure : [];
};

/** Chooses among the candidates; `uneven` is undefined unless their service times are uneven. */
export const choosePlain = (
  inputs: ChoiceInputs,
  uneven: ServicePace | undefined,
): Scored | undefined => {
  const { candidates, pace, random } = inputs;
  if (!uneven || !pace)
    return pickLeast(
      candidates.map((server) => scoreByLoad(server, inputs)),
      random,
    );
  const scored = candidates.map((server) => scoreByTime(server, inputs, uneven));
  const probed = listProbed(scored, pace);
  if (probed.length > 0) return pickLeast(probed, random);
  const least = Math.min(...scored.map(({ expectedMs }) => expectedMs));
  return pickLeast(
    scored.filter(({ expectedMs }) => expectedMs <= EQUAL_FACTOR * least),
    random,
  );
};
