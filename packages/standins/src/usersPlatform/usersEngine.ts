/**
 * Stand-in model engine. It computes prompts in chunks, advances all runs in one batch step, has limited memory, sends
 * load reports with a lag, copies a run's memory to another engine, and resumes runs from such copies.
 */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { HEADER, SERVER_PATH, STATE_LEAVING } from "@stairgauge/platform";
import {
  HEALTH_PATH,
  listenOnLoopback,
  readWhole,
  sendJson,
  type Listening,
} from "./loopback.js";

/** Sizes and durations; tests use shorter durations than real engines have. */
export type UsersEngineTraits = Readonly<{
  /** Memory for runs and copies, in tokens. */
  memoryTokens: number;
  /** Interval of the batch steps. */
  stepMs: number;
  promptTokensPerStep: number;
  /** Duration of copying a run's memory to another engine. */
  copyMs: number;
  /** Age of the load report that is sent. */
  reportLagMs: number;
}>;

/** A running engine. */
export type UsersEngine = Listening &
  Readonly<{
    id: string;
    /** Stops at once and closes all connections, as when a machine is reclaimed; streams break off. */
    crash: () => void;
    /** Reports from now on that the engine is leaving. */
    setLeaving: () => void;
    /** Accepts connections but never answers again, as behind a broken network link. */
    freeze: () => void;
    countRunning: () => number;
    /** Ids of requests that sent their first event here and on no other engine before. */
    listStarted: () => readonly string[];
  }>;

type Run = {
  readonly id: string;
  readonly response: ServerResponse;
  /** Prompt tokens still to compute. */
  promptLeft: number;
  readonly promptTokens: number;
  /** Events sent so far, on any engine. */
  made: number;
  /** Events of the whole stream. */
  readonly total: number;
};

/** A copy of a run's memory. */
type Copy = Readonly<{ runId: string; tokens: number }>;

const TOKENS_PER_EVENT = 4;
const HALF_EVENT_BYTES = 7;

/** Formats event `index` of a request's stream; the text is the same on every engine. */
export const formatEngineEvent = (request: string, index: number): string =>
  `id: ${index}\ndata: ${request} token group ${index}\n\n`;

/** Returns a function that starts engines; they can copy runs to each other. */
export const createUsersEngines = (traits: UsersEngineTraits) => {
  /** By the address of the engine that holds the copies, then by handle. */
  const copiesAt = new Map<string, Map<string, Copy>>();
  /** Capacity check of each engine, by address. */
  const capacityChecks = new Map<string, (tokens: number) => boolean>();
  /** For each request that has sent an event, the id of the engine that sent its first. */
  const firstEngines = new Map<string, string>();
  let nextHandle = 0;

  const start = async (id: string): Promise<UsersEngine> => {
    const runs = new Map<string, Run>();
    const stopped = new Set<string>();
    const started: string[] = [];
    const reports: { at: number; body: unknown }[] = [];
    let isLeaving = false;
    let isFrozen = false;
    let isClosed = false;

    const countTokens = (run: Run) => run.promptTokens + run.made * TOKENS_PER_EVENT;
    const sumMemory = () =>
      [...runs.values()].reduce((sum, run) => sum + countTokens(run), 0) +
      [...(copiesAt.get(address)?.values() ?? [])].reduce(
        (sum, copy) => sum + copy.tokens,
        0,
      );
    const hasCapacity = (tokens: number) => sumMemory() + tokens <= traits.memoryTokens;

    const stepRun = (run: Run) => {
      if (run.promptLeft > 0) {
        run.promptLeft -= traits.promptTokensPerStep;
        return;
      }
      if (run.made === 0 && !firstEngines.has(run.id)) {
        started.push(run.id);
        firstEngines.set(run.id, id);
      }
      run.response.write(formatEngineEvent(run.id, run.made));
      run.made += 1;
      if (run.made < run.total) return;
      run.response.end();
      runs.delete(run.id);
    };
    const createReport = () => ({
      stage: "dual",
      state: isLeaving ? STATE_LEAVING : "ready",
      models: [],
      busy: false,
      sequence: 1,
      waiting: 0,
      running: runs.size,
      kvUsed: sumMemory(),
      kvTotal: traits.memoryTokens,
      handles: copiesAt.get(address)?.size ?? 0,
      runs: [...runs.values()].map((run) => [run.id, countTokens(run), run.made, 5]),
    });
    const step = () => {
      for (const run of [...runs.values()]) stepRun(run);
      const now = performance.now();
      reports.push({ at: now, body: createReport() });
      while (reports.length > 1 && reports[1]!.at <= now - traits.reportLagMs)
        reports.shift();
    };

    const startRun = (incoming: IncomingMessage, response: ServerResponse) => {
      const headers = incoming.headers;
      const get = (name: string) => headers[name.toLowerCase()] as string | undefined;
      const requestId = get(HEADER.requestId) ?? "";
      const [prompt = 0, total = 0] = (get(HEADER.tokens) ?? "").split(",").map(Number);
      const last = get(HEADER.lastEventId);
      const memory = get(HEADER.memoryFrom);
      const copies = copiesAt.get(address);
      const handle = memory?.split("/")[1] ?? "";
      const copy = copies?.get(handle);
      const isOwnStopped = stopped.has(requestId) && memory?.startsWith(address);
      if ((memory && !copy && !isOwnStopped) || (!memory && !hasCapacity(prompt))) {
        sendJson(response, 503, {}, { [HEADER.notRun]: "1" });
        return;
      }
      copies?.delete(handle);
      stopped.delete(requestId);
      const made = last === undefined ? 0 : Number(last) + 1;
      response.writeHead(200, {
        "Content-Type": "text/event-stream",
        [HEADER.requestId]: requestId,
        [HEADER.signature]: `signature-of-${id}`,
      });
      response.flushHeaders();
      const promptLeft = memory ? 0 : prompt + made * TOKENS_PER_EVENT;
      runs.set(requestId, {
        id: requestId,
        response,
        promptLeft,
        promptTokens: prompt,
        made,
        total,
      });
      response.once("close", () => {
        if (runs.get(requestId)?.response === response) runs.delete(requestId);
      });
    };

    const stopRun = (run: Run) => {
      runs.delete(run.id);
      stopped.add(run.id);
      // The stream breaks off within an event.
      run.response.write(
        formatEngineEvent(run.id, run.made).slice(0, HALF_EVENT_BYTES),
        () => run.response.destroy(),
      );
    };

    const copyRun = async (incoming: IncomingMessage, response: ServerResponse) => {
      const body = JSON.parse((await readWhole(incoming)).toString("utf8")) as {
        id: string;
        targetVersion: string;
        last?: boolean;
      };
      const run = runs.get(body.id);
      if (!run || run.promptLeft > 0) {
        sendJson(response, 404, {});
        return;
      }
      const existing = [...(copiesAt.get(body.targetVersion) ?? [])].find(
        ([, copy]) => copy.runId === run.id,
      );
      const handle = existing?.[0] ?? `h${(nextHandle += 1)}`;
      if (body.last) stopRun(run);
      const tokens = countTokens(run);
      if (!existing && !capacityChecks.get(body.targetVersion)?.(tokens)) {
        sendJson(response, 503, body.last ? { handle } : {});
        return;
      }
      setTimeout(() => {
        if (isClosed) return;
        const copies = copiesAt.get(body.targetVersion) ?? new Map<string, Copy>();
        copiesAt.set(body.targetVersion, copies);
        if (!body.last) copies.set(handle, { runId: run.id, tokens });
        sendJson(response, 200, { handle, made: run.made });
      }, traits.copyMs);
    };

    const handle = (incoming: IncomingMessage, response: ServerResponse) => {
      if (isFrozen) return;
      const path = incoming.url ?? "/";
      if (path === SERVER_PATH.report)
        sendJson(response, 200, reports[0]?.body ?? createReport());
      else if (path === HEALTH_PATH)
        sendJson(response, 200, {}, { [HEADER.instance]: id });
      else if (path === SERVER_PATH.move) void copyRun(incoming, response);
      else if (path.startsWith(SERVER_PATH.handle)) sendJson(response, 200, {});
      else void readWhole(incoming).then(() => startRun(incoming, response));
    };

    const server = createServer(handle);
    const listening = await listenOnLoopback(server);
    const { address } = listening;
    capacityChecks.set(address, hasCapacity);
    const timer = setInterval(step, traits.stepMs);
    const close = () => {
      isClosed = true;
      clearInterval(timer);
      capacityChecks.delete(address);
      listening.close();
    };
    return {
      address,
      id,
      close,
      crash: close,
      setLeaving: () => {
        isLeaving = true;
      },
      freeze: () => {
        isFrozen = true;
        clearInterval(timer);
      },
      countRunning: () => runs.size,
      listStarted: () => started,
    };
  };
  return { start };
};
