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
  it("calls the handler of each signal once, with the signal of the answer", () => {
    const received: unknown[] = [];
    const makeHandler =
      (name: keyof ServerSignals) =>
      (signal: object): void =>
        void received.push([name, signal]);
    const handlers: SignalHandlers = {
      isClosing: makeHandler("isClosing"),
      warmUpLeft: makeHandler("warmUpLeft"),
      limit: makeHandler("limit"),
      brittle: makeHandler("brittle"),
      leaving: makeHandler("leaving"),
      rest: makeHandler("rest"),
    };
    const signals = { ...NO_SIGNALS, warmUpLeft: 30 as Ms };
    dispatchSignals(handlers, { server: SERVER, signals, source: SOURCE });
    expect(received).toEqual(
      Object.entries(signals).map(([name, signal]) => [
        name,
        { server: SERVER, signal, source: SOURCE },
      ]),
    );
  });
});
