/**
 * Feeds the registry of service times of the box that places, as in the product: it times prompts by
 * its own placements, and gets the gaps between events from the other boxes, which send them twice per
 * second.
 */
import type { BoxName, Clock, Ms, ServiceName } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import {
  createEventSampler,
  createPaceExchange,
  createPaceRegistry,
  createReadingTimer,
  type EventSampler,
  type PaceReader,
} from "@stairgauge/pace";
import type { ModelRun } from "./engine.js";

const OTHERS = "others" as BoxName;

/** Receives what happens at the simulated engines. */
export type PaceFeed = Readonly<{
  reader: PaceReader;
  onPlaced: (engine: string, run: ModelRun) => void;
  onBegun: (engine: string, run: ModelRun) => void;
  onEvent: (engine: string, run: ModelRun, now: number) => void;
  onEnded: (engine: string, run: ModelRun) => void;
  drop: (engine: string) => void;
}>;

/** Creates a feed with an empty registry. */
export const createPaceFeed = ({
  clock,
  service,
  targetMs,
}: Readonly<{ clock: Clock; service: ServiceName; targetMs: number }>): PaceFeed => {
  const createRegistry = () =>
    createPaceRegistry({
      clock,
      isListed: () => true,
      onEvent: () => undefined,
      onObservation: () => undefined,
    });
  const hub = createRegistry();
  const others = createRegistry();
  createPaceExchange({
    clock,
    registry: others,
    sendUpdate: (paces) => hub.applyShared(paces, OTHERS),
    sendNotice: () => undefined,
    isHub: () => false,
  });
  const timer = createReadingTimer(hub.recordUnshared);
  const samplers = new Map<string, Readonly<{ engine: string; sampler: EventSampler }>>();

  const findSampler = (engine: string, { id }: ModelRun): EventSampler => {
    const known = samplers.get(id);
    if (known?.engine === engine) return known.sampler;
    known?.sampler.reset();
    const sampler = createEventSampler({
      targetMs,
      onSlow: () =>
        hub.applyShared(
          [{ server: engine as ServerId, service, age: 0 as Ms, isSlow: true }],
          OTHERS,
        ),
      onSample: (gaps) => others.record({ ...gaps, server: engine as ServerId, service }),
    });
    samplers.set(id, { engine, sampler });
    return sampler;
  };

  return {
    reader: hub,
    onPlaced: (engine, { id, prompt }) =>
      timer.onPlaced(
        { server: engine as ServerId, service, id, promptTokens: prompt },
        clock.monotonic(),
      ),
    onBegun: (engine, { id }) => timer.onBegun(engine as ServerId, id, clock.monotonic()),
    onEvent: (engine, run, now) => findSampler(engine, run).onEvent(now),
    onEnded: (engine, { id }) => {
      timer.onEnded(engine as ServerId, id);
      samplers.get(id)?.sampler.reset();
      samplers.delete(id);
    },
    drop: (engine) => {
      timer.drop(engine as ServerId);
      hub.drop(engine as ServerId);
    },
  };
};
