/** A gate around one box: while it is paused nothing reaches it; once it is killed nothing ever does. */
import type { Clock } from "@stairgauge/common";
import type { EngineClient, LinkHandlers } from "@stairgauge/engines";
import type { Platform, TableService } from "@stairgauge/stores";

/** The gate of one box. */
export type Gate = Readonly<{
  /** Runs now, later or never. */
  run: (step: () => void) => void;
  pause: () => void;
  open: () => void;
  kill: () => void;
}>;

/** Creates an open gate. */
export const createGate = (): Gate => {
  let state: "open" | "paused" | "dead" = "open";
  let held: (() => void)[] = [];
  return {
    run: (step) => {
      if (state === "open") step();
      if (state === "paused") held.push(step);
    },
    pause: () => {
      if (state === "open") state = "paused";
    },
    open: () => {
      if (state !== "paused") return;
      state = "open";
      const waiting = held;
      held = [];
      for (const step of waiting) step();
    },
    kill: () => {
      state = "dead";
      held = [];
    },
  };
};

/** A clock whose timers pass the gate. */
export const createGatedClock = (clock: Clock, gate: Gate): Clock => ({
  ...clock,
  setTimer: (delay, fire) => clock.setTimer(delay, () => gate.run(fire)),
});

const wrapPromise = <T>(gate: Gate, promise: Promise<T>): Promise<T> =>
  new Promise((resolve) => {
    void promise.then((value) => gate.run(() => resolve(value)));
  });

const wrapHandlers = (gate: Gate, handlers: LinkHandlers): LinkHandlers => ({
  onFrame: (frame) => gate.run(() => handlers.onFrame(frame)),
  onEnd: (failure) => gate.run(() => handlers.onEnd(failure)),
});

/** An engine client whose answers pass the gate. */
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

/** A platform whose answers pass the gate. */
export const createGatedPlatform = (platform: Platform, gate: Gate): Platform => ({
  ...platform,
  table: createGatedTable(platform.table, gate),
  objects: {
    read: (name) => wrapPromise(gate, platform.objects.read(name)),
    write: (name, content) => wrapPromise(gate, platform.objects.write(name, content)),
  },
});
