/** Places requests by the directory and the load book, and keeps the book. */
import type { Clock, DataHallName, Random } from "@stairgauge/common";
import type { BackendServer, ServerDirectory } from "@stairgauge/directory";
import type { ActiveRun, Placer } from "@stairgauge/forwarding";
import { chooseServer, estimateMemory, type LoadBook } from "@stairgauge/placement";

/** What placing needs. */
export type PlacerOptions = Readonly<{
  clock: Clock;
  random: Random;
  ownHall: DataHallName;
  directory: ServerDirectory;
  book: LoadBook;
  onClosingAnnounced: (server: BackendServer) => void;
}>;

/** Places requests, and finds targets for runs that move. */
export type FleetPlacer = Placer &
  Readonly<{
    /** Engines that may take a run, the one with most free memory first. */
    listTargets: (run: ActiveRun) => readonly BackendServer[];
    /** Notes a run at its target while it is being copied there. */
    reserve: (target: BackendServer, run: ActiveRun) => () => void;
  }>;

/** Id under which placements without an id of the client's are kept. */
const createPlacementIds = () => {
  let next = 0;
  return () => `unnamed-${(next += 1)}`;
};

/** Creates the placer. */
export const createPlacer = (options: PlacerOptions): FleetPlacer => {
  const { clock, random, ownHall, directory, book, onClosingAnnounced } = options;
  const mintId = createPlacementIds();

  return {
    choose: (service, demand, except) => {
      const ready = directory.listReady(service);
      const untried = ready.filter((server) => !except.has(server.entry.id));
      const now = clock.monotonic();
      const decision = chooseServer({
        candidates: untried,
        demand,
        book,
        ownHall,
        now,
        random,
      });
      return decision.kind === "no_server"
        ? { ...decision, known: ready.length }
        : decision;
    },
    place: (server, head, demand) => {
      const { id } = server.entry;
      const runId = head.id ?? mintId();
      book.addOpen(id);
      if (demand.tokens)
        book.addRun(id, {
          id: runId,
          placedAt: clock.monotonic(),
          promptTokens: demand.tokens.prompt,
          expectedOut: demand.tokens.expectedOut,
        });
      let isReleased = false;
      return () => {
        if (isReleased) return;
        isReleased = true;
        book.removeOpen(id);
        book.removeRun(id, runId);
      };
    },
    onAddressReused: (server) =>
      directory.mark(server.entry.id, "address_reused", clock.monotonic()),
    onConnectionClosing: onClosingAnnounced,
    listTargets: (run) => {
      const now = clock.monotonic();
      const own = run.getServer();
      const ready = directory
        .listReady(own.entry.service)
        .filter((server) => server.entry.id !== own.entry.id);
      const views = new Map(
        ready.map((server) => [server, estimateMemory(server, book, now).taken]),
      );
      return [...ready].sort((a, b) => views.get(a)! - views.get(b)!);
    },
    reserve: (target, run) => {
      const { id } = target.entry;
      const runId = `${run.id}-moving`;
      book.addRun(id, {
        id: runId,
        placedAt: clock.monotonic(),
        promptTokens: run.getTokens(),
        expectedOut: run.getTokensLeft(),
      });
      return () => book.removeRun(id, runId);
    },
  };
};
