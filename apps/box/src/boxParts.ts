/** The parts of a box that others use before they are created, because parts need each other. */
import type { RequestGuard } from "@stairgauge/crashes";
import type { ServerDirectory } from "@stairgauge/directory";
import type { FleetPlacer, MovePlanner, PlaceHub, ReportPoller } from "@stairgauge/fleet";
import type { ClientServer, Forwarder } from "@stairgauge/forwarding";
import type { ServerLimits } from "@stairgauge/limits";
import type { RunMover } from "@stairgauge/migration";
import type { Capacity } from "./createCapacity.js";
import type { Origins } from "./createOrigins.js";
import type { Pace } from "./createPace.js";
import type { Paths } from "./createPaths.js";
import type { FollowedTables } from "./createFollowedTables.js";

/** The parts. */
export type BoxParts = Readonly<{
  capacity: Capacity;
  clientServer: ClientServer;
  directory: ServerDirectory;
  followedTables: FollowedTables;
  forwarder: Forwarder;
  guard: RequestGuard;
  limits: ServerLimits;
  mover: RunMover;
  origins: Origins;
  pace: Pace;
  paths: Paths;
  placeHub: PlaceHub;
  placer: FleetPlacer;
  planner: MovePlanner;
  reports: ReportPoller;
}>;
