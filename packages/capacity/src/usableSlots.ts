/**
 * How many requests all boxes together may have at a plain server while its service is contended: its
 * slots, and a few more so that no slot stands idle while messages are in transit.
 */
import type { Clock } from "@stairgauge/common";
import type { ServerEntry, ServerId } from "@stairgauge/directory";
import type { LoadRegistry } from "@stairgauge/placement";
import { LOWERED_MS, MAX_SERVERS } from "./constants.js";
import type { SlotsEvent } from "./types.js";

/** Options of the usable slots. */
export type UsableSlotsOptions = Readonly<{
  clock: Pick<Clock, "monotonic">;
  /** Whether a server falls over if it rejects requests: it gets none beyond its slots. */
  isBrittle: (server: ServerId) => boolean;
  onEvent: (event: SlotsEvent) => void;
}>;

/** What is needed of a server's entry. */
export type SlotsEntry = Pick<ServerEntry, "id" | "slots">;

/** The usable slots of plain servers. */
export type UsableSlots = Readonly<{
  count: (entry: SlotsEntry) => number;
  /** Lowers the usable slots of a server that rejected a request while `present` others were there. */
  lower: (entry: SlotsEntry, present: number) => void;
  forget: (server: ServerId) => void;
}>;

/**
 * Part of a server's slots that is used as a pipeline. A message takes 3 to 10 ms between two boxes and
 * a request 20 to 60 ms, so up to a quarter of the slots would otherwise wait for the next request.
 */
const PIPELINE_PART = 1 / 4;

/** Computes how many requests may be at a server beyond its slots. */
export const computePipeline = (slots: number): number =>
  Math.max(1, Math.ceil(slots * PIPELINE_PART));

/** Number of requests of all boxes on record at a server. */
export const countPresent = (
  registry: Pick<LoadRegistry, "countOpen" | "countRuns" | "countPeerRuns">,
  server: ServerId,
): number =>
  // Own requests that were placed before the service was contended are open but not recorded as runs.
  Math.max(registry.countOpen(server), registry.countRuns(server)) +
  registry.countPeerRuns(server);

type Lowered = Readonly<{ usable: number; until: number }>;

/** Creates the usable slots; none is lowered. */
export const createUsableSlots = (options: UsableSlotsOptions): UsableSlots => {
  const { clock, onEvent } = options;
  const lowered = new Map<ServerId, Lowered>();

  const dropOld = () => {
    for (const [id, { until }] of lowered)
      if (until <= clock.monotonic()) lowered.delete(id);
  };
  const count = ({ id, slots }: SlotsEntry): number => {
    const pipeline = options.isBrittle(id) ? 0 : computePipeline(slots);
    const whole = Math.max(1, slots) + pipeline;
    const low = lowered.get(id);
    return low && clock.monotonic() < low.until ? Math.min(whole, low.usable) : whole;
  };

  return {
    count,
    lower: (entry, present) => {
      dropOld();
      if (!lowered.has(entry.id) && lowered.size >= MAX_SERVERS) return;
      // One request stays possible, since only requests show when the server has slots again.
      const usable = Math.max(1, Math.min(count(entry), present));
      lowered.set(entry.id, { usable, until: clock.monotonic() + LOWERED_MS });
      const { id: server, slots } = entry;
      onEvent({
        kind: "slots_lowered",
        server,
        slots,
        usable,
        duration: LOWERED_MS,
      });
    },
    forget: (server) => void lowered.delete(server),
  };
};
