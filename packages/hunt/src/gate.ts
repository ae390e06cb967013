/** Simulates pauses and crashes of one box by delaying or dropping every callback into it. */
import type { Clock } from "@stairgauge/common";
import type { EngineClient, LinkHandlers } from "@stairgauge/engines";
import type { Platform, TableService } from "@stairgauge/stores";

/** Controls whether callbacks of one box run. */
export type Gate = Readonly<{
  /** Runs the callback at once if open, on `open` if paused, and never if killed. */
  run: (step: () => void) => void;
  /** Holds callbacks back until `open`. */
  pause: () => void;
  /** Runs the callbacks held back by a pause, in order. No effect on a killed gate. */
  open: () => void;
  /** Drops all held and all future callbacks. */
  kill: () => void;
}>;

/** Creates an open gate. */
export const createGate = (): Gate => {
  let state: "open" | "paused" | "dead" = "open";
  let heldSteps: (() => void)[] = [];
  return {
    run: (step) => {
      if (state === "open") step();
      if (state === "paused") heldSteps.push(step);
    },
    pause: () => {
      if (state === "open") state = "paused";
    },
    open: () => {
      if (state !== "paused") return;
      state = "open";
      const steps = heldSteps;
      heldSteps = [];
      for (const step of steps) step();
    },
    kill: () => {
      state = "dead";
      heldSteps = [];
    },
  };
};

/** Wraps a clock: its timers fire through the gate. */
export const createGatedClock = (clock: Clock, gate: Gate): Clock => ({
  ...clock,
  setTimer: (delay, fire) => clock.setTimer(delay, () => gate.run(fire)),
  setTimeLimit: (limit, fire) => clock.setTimeLimit(limit, () => gate.run(fire)),
});

const wrapPromise = <T>(gate: Gate, promise: Promise<T>): Promise<T> =>
  new Promise((resolve) => {
    void promise.then((value) => gate.run(() => resolve(value)));
  });

const wrapHandlers = (gate: Gate, handlers: LinkHandlers): LinkHandlers => ({
  onFrame: (frame) => gate.run(() => handlers.onFrame(frame)),
  onEnd: (failure) => gate.run(() => handlers.onEnd(failure)),
});

/** Wraps an engine client: its frames and answers arrive through the gate. */
export const createGatedEngines = (client: EngineClient, gate: Gate): EngineClient => ({
  ...client,
  openStart: (address, request, handlers) =>
    client.openStart(address, request, wrapHandlers(gate, handlers)),
  openResume: (address, target, handlers) =>
    client.openResume(address, target, wrapHandlers(gate, handlers)),
  cancel: (address, target) => wrapPromise(gate, client.cancel(address, target)),
  readLoad: (address) => wrapPromise(gate, client.readLoad(address)),
});

const createGatedTable = (table: TableService, gate: Gate): TableService => ({
  read: (at) => wrapPromise(gate, table.read(at)),
  write: (write) => wrapPromise(gate, table.write(write)),
  writeBatch: (writes) => wrapPromise(gate, table.writeBatch(writes)),
});

/** Wraps a platform: its answers arrive through the gate. */
export const createGatedPlatform = (platform: Platform, gate: Gate): Platform => ({
  ...platform,
  table: createGatedTable(platform.table, gate),
  objects: {
    read: (name) => wrapPromise(gate, platform.objects.read(name)),
    write: (name, content) => wrapPromise(gate, platform.objects.write(name, content)),
  },
});
