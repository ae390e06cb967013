/** Inputs of a choice of a server, and a candidate with its score. */
import type { DataHallName, Ms, Random } from "@stairgauge/common";
import type { BackendServer, ServerId } from "@stairgauge/directory";
import type { PaceReader } from "@stairgauge/pace";
import type { EngineWay } from "./engineWays.js";
import type { LoadRegistry } from "./loadRegistry.js";
import type { Demand } from "./types.js";

/** Inputs of a choice. */
export type ChoiceInputs = Readonly<{
  candidates: readonly BackendServer[];
  demand: Pick<Demand, "tokens">;
  registry: LoadRegistry;
  /** Number of requests at a plain server; by default those of this box. */
  countAt?: ((server: ServerId) => number) | undefined;
  ownHall: DataHallName;
  way: EngineWay;
  /** Expected number of placements by other boxes that this box hasn't received yet. */
  expectedCompetitors: number;
  /** Service times of the servers; without them, or while they are even, they don't count. */
  pace?: PaceReader | undefined;
  /** Longest gap between events that the routes allow; 180 ms if undefined. */
  gapTarget?: Ms | undefined;
  now: Ms;
  random: Random;
}>;

/** A candidate and its score. */
export type Scored = Readonly<{
  server: BackendServer;
  /** What the choice minimizes. */
  cost: number;
  load: number;
  memoryAfter: number | undefined;
  reportAge: Ms | undefined;
  expectedMs?: number | undefined;
}>;
