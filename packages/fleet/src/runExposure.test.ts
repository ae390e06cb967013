import { beforeEach, describe, expect, it } from "vitest";
import type { DataHallName, Ms, ServiceName } from "@stairgauge/common";
import {
  createServerDirectory,
  type ServerDirectory,
  type ServerId,
  type ServerName,
} from "@stairgauge/directory";
import type { ActiveRun, ClientRequestId } from "@stairgauge/forwarding";
import {
  createLoadRegistry,
  toCopyId,
  type LoadRegistry,
  type MoveTarget,
} from "@stairgauge/placement";
import type { EngineTraits } from "@stairgauge/routing";
import { createExposureClassifier } from "./runExposure.js";

const ENGINE = "engine" as ServerId;
const OTHER = "other" as ServerId;
const TRAITS: EngineTraits = {
  slots: 48,
  memoryTokens: 34_000,
  bytesPerToken: 131_072,
  linkMbps: 19_000,
  canMove: true,
  canBackUp: true,
  copyLife: 5_000 as Ms,
};

const makePlaced = (id: string, promptTokens: number) => ({
  id,
  promptTokens,
  expectedOut: 900,
  hasBegun: true,
  isMovable: true,
});

describe("createExposureClassifier", () => {
  let directory: ServerDirectory;
  let registry: LoadRegistry;
  let targets: MoveTarget[];
  let traits: EngineTraits | undefined;

  const makeRun = (id: string, tokens = 3_500): ActiveRun => ({
    id: id as ClientRequestId,
    route: { isResumable: false } as ActiveRun["route"],
    getServer: () => directory.find(ENGINE)!,
    hasBegun: () => true,
    getEventsMade: () => 10,
    getTokens: () => tokens,
    getTokensLeft: () => 500,
    getBinding: () => undefined,
  });
  const excluded = new Set<ServerId>();
  const createJudge = () =>
    createExposureClassifier({
      directory,
      registry,
      listTargets: () => targets,
      findTraits: () => traits,
      mayTake: ({ entry }) => !excluded.has(entry.id),
    });

  beforeEach(() => {
    directory = createServerDirectory({
      memory: 1_000 as Ms,
      onEvent: () => undefined,
    });
    for (const id of [ENGINE, OTHER])
      directory.put(
        {
          id,
          name: `name-${id}` as ServerName,
          startedAt: undefined,
          service: "s" as ServiceName,
          address: { host: "10.0.0.1", port: 80 },
          dataHall: "h" as DataHallName,
          slots: 48,
          isLeaving: false,
          warmUpLeft: 0 as Ms,
        },
        0 as Ms,
      );
    registry = createLoadRegistry();
    traits = TRAITS;
    targets = [
      { server: OTHER, takenTokens: 10_000, totalTokens: 34_000, isNear: false },
    ];
    for (const [id, tokens] of [
      ["a", 3_000],
      ["b", 3_200],
      ["c", 3_400],
    ] as const)
      registry.addRun(ENGINE, makePlaced(id, tokens));
    registry.putPeerRun("box-2", { server: ENGINE, run: makePlaced("d", 3_600) });
  });

  it("counts the runs of all boxes, so that the last of four in moving order is exposed", () => {
    expect(createJudge().isExposed(makeRun("d"))).toBe(true);
    expect(createJudge().isExposed(makeRun("a"))).toBe(false);
  });

  it("leaves out runs that have a copy elsewhere, except the run in question", () => {
    registry.addRun(OTHER, makePlaced(toCopyId("a"), 3_000));
    expect(createJudge().isExposed(makeRun("d"))).toBe(false);
    registry.addRun(OTHER, makePlaced(toCopyId("d"), 3_600));
    registry.removeRun(OTHER, toCopyId("a"));
    expect(createJudge().isExposed(makeRun("d"))).toBe(true);
  });

  it("finds no run exposed if engines can't move runs or their traits are unknown", () => {
    traits = { ...TRAITS, canMove: false };
    expect(createJudge().isExposed(makeRun("d"))).toBe(false);
    traits = undefined;
    expect(createJudge().isExposed(makeRun("d"))).toBe(false);
    expect(createJudge().getCopyLife(makeRun("d"))).toBe(5_000);
  });

  it("finds an engine with enough free memory, and none if the copy would overload it", () => {
    expect(createJudge().findTarget(makeRun("d"))?.entry.id).toBe(OTHER);
    excluded.add(OTHER);
    expect(createJudge().findTarget(makeRun("d"))).toBeUndefined();
    excluded.clear();
    targets = [{ server: OTHER, takenTokens: 19_000, totalTokens: 34_000, isNear: true }];
    expect(createJudge().findTarget(makeRun("d"))).toBeUndefined();
  });
});
