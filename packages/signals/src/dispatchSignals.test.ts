import { describe, expect, it } from "vitest";
import type { Ms } from "@stairgauge/common";
import type { BackendServer } from "@stairgauge/directory";
import {
  NO_SIGNALS,
  dispatchSignals,
  type ServerSignals,
  type SignalHandlers,
} from "./index.js";

const SERVER = {} as BackendServer;
const SOURCE = { kind: "health" } as const;

describe("dispatchSignals", () => {
  it("calls the taker of each sign once, with what the answer says", () => {
    const taken: unknown[] = [];
    const take =
      (name: keyof ServerSignals) =>
      (heard: object): void =>
        void taken.push([name, heard]);
    const takers: SignalHandlers = {
      isClosing: take("isClosing"),
      warmUpLeft: take("warmUpLeft"),
      limit: take("limit"),
      leaving: take("leaving"),
      rest: take("rest"),
    };
    const signals = { ...NO_SIGNALS, warmUpLeft: 30 as Ms };
    dispatchSignals(takers, { server: SERVER, signals, source: SOURCE });
    expect(taken).toEqual(
      Object.entries(signals).map(([name, sign]) => [
        name,
        { server: SERVER, sign, source: SOURCE },
      ]),
    );
  });
});
