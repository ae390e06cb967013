/** Guards against a plain request whose placing throws at the admitting box: it stayed first, and all behind it waited. */
import { describe, expect, it } from "vitest";
import { createAdmissionQueue, createFairShares } from "@stairgauge/admission";
import {
  createVirtualClock,
  type Ms,
  type ServiceName,
  type WorkspaceName,
} from "@stairgauge/common";
import type { BackendServer, ServerId } from "@stairgauge/directory";
import { createLoadRegistry, type PlacementDecision } from "@stairgauge/placement";
import { createPlainAdmitter, type PlainAdmitterOptions } from "./index.js";

const SERVICE = "s" as ServiceName;
const SERVER = { entry: { id: "e" as ServerId, service: SERVICE, slots: 1 } };
const PLACED = { kind: "placed", server: SERVER } as unknown as PlacementDecision;
const FAULT = new Error("fault of the test");

/** An admitter without room; `setChoice` says how the next requests are placed. */
const setUp = () => {
  const clock = createVirtualClock();
  let choose: () => PlacementDecision | undefined = () => undefined;
  const admitter = createPlainAdmitter({
    clock,
    registry: createLoadRegistry(),
    placer: { chooseWithRoom: () => choose() },
    directory: {
      find: () => SERVER as BackendServer,
      listReady: () => [SERVER as BackendServer],
    },
    contention: {
      onSign: () => undefined,
      getContendedFor: () => 1_000 as Ms,
      isContended: () => true,
      isShortOfSlots: () => true,
    },
    usable: { count: () => 1 } as unknown as PlainAdmitterOptions["usable"],
    queue: createAdmissionQueue({
      clock,
      shares: createFairShares(),
      retryAfter: 400 as Ms,
      countSlots: () => 1,
    }),
    onEvent: () => undefined,
  });
  const ends: unknown[] = [];
  const admit = (name: string) =>
    admitter.admit(
      {
        box: "b",
        owner: "other",
        service: SERVICE,
        demand: { tier: 1, tokens: undefined },
        except: new Set(),
        terms: {
          workspace: "w" as WorkspaceName,
          subject: name,
          aimInMs: 2_000 as Ms,
          endsInMs: 4_000 as Ms,
          workMs: 5 as Ms,
        },
      },
      {
        decide: ({ kind }) => ends.push([name, kind]),
        fail: (error) => ends.push([name, error]),
      },
    );
  const setChoice = (next: typeof choose) => {
    choose = next;
  };
  return { clock, admitter, admit, ends, setChoice };
};

describe("a plain request whose placing throws", () => {
  it("fails alone once there may be room, and those behind it are placed", () => {
    const { clock, admitter, admit, ends, setChoice } = setUp();
    admit("first");
    admit("second");
    let times = 0;
    setChoice(() => {
      times += 1;
      if (times === 1) throw FAULT;
      return PLACED;
    });
    clock.advance(200 as Ms);
    expect(ends).toEqual([
      ["first", FAULT],
      ["second", "placed"],
    ]);
    expect(admitter.countWaiting()).toBe(0);
  });

  it("fails when it arrives, and waits no longer", () => {
    const { admitter, admit, ends, setChoice } = setUp();
    setChoice(() => {
      throw FAULT;
    });
    admit("first");
    expect(ends).toEqual([["first", FAULT]]);
    expect(admitter.countWaiting()).toBe(0);
  });
});
