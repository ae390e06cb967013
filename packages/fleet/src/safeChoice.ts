/** Places plain requests of contended services within this box's safe part of the slots. */
import {
  computeSafePart,
  type AdmissionEvent,
  type BrittleServers,
} from "@stairgauge/capacity";
import type { Ms, ServiceName } from "@stairgauge/common";
import type { ServerDirectory, ServerId } from "@stairgauge/directory";
import type {
  Demand,
  FleetPlaces,
  LoadRegistry,
  PlacementDecision,
} from "@stairgauge/placement";
import type { FleetPlacer } from "./createPlacer.js";

/** Dependencies of the choice. */
export type SafeChoiceOptions = Readonly<{
  directory: Pick<ServerDirectory, "listReady">;
  registry: Pick<LoadRegistry, "countOpen">;
  places: Pick<FleetPlaces, "computePart">;
  placer: Pick<FleetPlacer, "chooseWithRoom">;
  brittle: Pick<BrittleServers, "isServiceBrittle" | "hasRejected">;
  /** Delay after which a refused client should retry. */
  retryAfter: Ms;
  onEvent: (event: AdmissionEvent) => void;
}>;

/** Chooses a server within the safe part, or refuses the request. */
export type SafeChoice = (
  service: ServiceName,
  demand: Demand,
  except: ReadonlySet<ServerId>,
) => PlacementDecision;

/** Creates the choice. */
export const createSafeChoice = (options: SafeChoiceOptions): SafeChoice => {
  const { directory, registry, places, placer, brittle, retryAfter, onEvent } = options;

  return (service, demand, except) => {
    const servers = directory.listReady(service).map(({ entry }) => entry);
    const { countOpen } = registry;
    const { part, open, usable } = computeSafePart({
      servers,
      places,
      countOpen,
      isBrittle: brittle.isServiceBrittle(service),
    });
    const decision = placer.chooseWithRoom({ service, demand, except }, "own", {
      hasRoom: ({ entry }) => usable.has(entry.id) && !brittle.hasRejected(entry.id),
      countAt: countOpen,
    });
    const server = decision?.kind === "placed" ? decision.server.entry.id : undefined;
    onEvent({ kind: "safe_part_used", service, server, open, part });
    if (decision) return decision;
    const known = servers.length;
    return { kind: "no_server", reason: "no_room", known, retryAfter };
  };
};
