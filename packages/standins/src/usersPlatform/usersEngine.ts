/**
 * A stand-in of the users' model engines: prompts read in pieces, one batch step for all runs, memory that
 * fills, reports with a lag, copies of a run's memory, and runs that go on from one.
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

/** Sizes and times; the users' engines take longer. */
export type UsersEngineTraits = Readonly<{
  memoryTokens: number;
  stepMs: number;
  promptTokensPerStep: number;
  copyMs: number;
  reportLagMs: number;
}>;

/** An engine. */
export type UsersEngine = Listening &
  Readonly<{
    id: string;
    /** Ends at once, as a reclaimed engine does: every stream breaks off, in the middle of an event. */
    crash: () => void;
    setLeaving: () => void;
    /** Takes connections and says nothing any more, as behind a link that is cut. */
    freeze: () => void;
    countRunning: () => number;
    /** Ids of requests that began to run here, each start once. */
    listStarted: () => readonly string[];
  }>;

type Run = {
  readonly id: string;
  readonly response: ServerResponse;
  promptLeft: number;
  readonly promptTokens: number;
  made: number;
  readonly total: number;
};

type Copy = Readonly<{ runId: string; tokens: number }>;

const TOKENS_PER_EVENT = 4;
const HALF_EVENT_BYTES = 7;

/** The event with the number `index` of the generation of a request; the same wherever it runs. */
export const formatEngineEvent = (request: string, index: number): string =>
  `id: ${index}\ndata: ${request} token group ${index}\n\n`;

/** Starts engines that can copy to each other. */
export const createUsersEngines = (traits: UsersEngineTraits) => {
  const copiesAt = new Map<string, Map<string, Copy>>();
  const roomAt = new Map<string, (tokens: number) => boolean>();
  const runAnywhere = new Map<string, string>();
  let nextHandle = 0;

  const start = async (id: string): Promise<UsersEngine> => {
    const runs = new Map<string, Run>();
    const stopped = new Set<string>();
    const started: string[] = [];
    const reports: { at: number; body: unknown }[] = [];
    let isLeaving = false;
    let isFrozen = false;
    let isOver = false;

    const countTokens = (run: Run) => run.promptTokens + run.made * TOKENS_PER_EVENT;
    const sumMemory = () =>
      [...runs.values()].reduce((sum, run) => sum + countTokens(run), 0) +
      [...(copiesAt.get(address)?.values() ?? [])].reduce(
        (sum, copy) => sum + copy.tokens,
        0,
      );
    const hasRoom = (tokens: number) => sumMemory() + tokens <= traits.memoryTokens;

    const stepRun = (run: Run) => {
      if (run.promptLeft > 0) {
        run.promptLeft -= traits.promptTokensPerStep;
        return;
      }
      if (run.made === 0 && !runAnywhere.has(run.id)) {
        started.push(run.id);
        runAnywhere.set(run.id, id);
      }
      run.response.write(formatEngineEvent(run.id, run.made));
      run.made += 1;
      if (run.made < run.total) return;
      run.response.end();
      runs.delete(run.id);
    };
    const makeReport = () => ({
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
      reports.push({ at: now, body: makeReport() });
      while (reports.length > 1 && reports[1]!.at <= now - traits.reportLagMs)
        reports.shift();
    };
    const timer = setInterval(step, traits.stepMs);

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
      if ((memory && !copy && !isOwnStopped) || (!memory && !hasRoom(prompt))) {
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
      // The stream stops in the middle of an event, without an end.
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
      const known = [...(copiesAt.get(body.targetVersion) ?? [])].find(
        ([, copy]) => copy.runId === run.id,
      );
      const handle = known?.[0] ?? `h${(nextHandle += 1)}`;
      if (body.last) stopRun(run);
      const tokens = countTokens(run);
      if (!known && !roomAt.get(body.targetVersion)?.(tokens)) {
        sendJson(response, 503, body.last ? { handle } : {});
        return;
      }
      setTimeout(() => {
        if (isOver) return;
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
        sendJson(response, 200, reports[0]?.body ?? makeReport());
      else if (path === HEALTH_PATH)
        sendJson(response, 200, {}, { [HEADER.instance]: id });
      else if (path === SERVER_PATH.move) void copyRun(incoming, response);
      else if (path.startsWith(SERVER_PATH.handle)) sendJson(response, 200, {});
      else void readWhole(incoming).then(() => startRun(incoming, response));
    };

    const server = createServer(handle);
    const listening = await listenOnLoopback(server);
    const { address } = listening;
    roomAt.set(address, hasRoom);
    const close = () => {
      isOver = true;
      clearInterval(timer);
      roomAt.delete(address);
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
