/**
 * Simulation on a virtual clock: boxes with real relays, guards and head watchers, stand-in engines and platform, and
 * callers that record everything they receive. It starts no processes and contains only what the promises need.
 */
import { indexBundle, type Bundle, type BundleHead } from "@stairgauge/bundle";
import {
  advanceSettled,
  createVirtualClock,
  type ModelName,
  type Ms,
  type RequestId,
  type WorkspaceName,
} from "@stairgauge/common";
import type { StartRequest } from "@stairgauge/engines";
import type { Outcome } from "@stairgauge/outcomes";
import type { AnswerSink } from "@stairgauge/relay";
import { encodeHead, HEAD_ROW, toObjectName } from "@stairgauge/rollout";
import {
  buildExampleBundle,
  createEngineHost,
  createMemoryEngines,
  createMemoryPlatform,
  createPlatformModel,
  EXAMPLE_ENGINE,
  seedExampleBundle,
  signExampleBundle,
} from "@stairgauge/standins";
import type { Continuation } from "@stairgauge/streams";
import { BOX_COUNT, ENGINE_COUNT, type Command } from "./commands.js";
import { createSimulatedBox, type SimulatedBox } from "./simulatedBox.js";
import type { History, OnceRecord, StreamRecord, Variant } from "./simulationTypes.js";

const WORKSPACE = "kerlann" as WorkspaceName;
const WARM_UP_MS = 2_000 as Ms;
const SETTLE_MS = 60_000 as Ms;

/** Fast engines, so that answers finish within schedules of a few seconds. */
const FAST_ENGINE = {
  ...EXAMPLE_ENGINE,
  stepBaseMs: 20,
  memoryTokens: 400,
  maxRunning: 6,
};

/** Address of an engine by its index. */
const toAddress = (engine: number): string => `127.0.0.1:${engine + 1}`;

const buildVariant = (variant: number): Bundle => {
  const addresses = Array.from({ length: ENGINE_COUNT }, (_, engine) =>
    toAddress(engine),
  );
  const bundle = buildExampleBundle({ engines: addresses, services: ["127.0.0.1:99"] });
  const objectives = { ...bundle.objectives, stallWeight: variant };
  return { ...bundle, objectives };
};

/**
 * Runs one schedule, then lifts all faults and lets everything finish. Returns the history. `variant` replaces parts of
 * the system by broken ones.
 */
export const runSchedule = async (
  commands: readonly Command[],
  variant: Variant = {},
): Promise<History> => {
  const clock = createVirtualClock(1_000_000 as Ms);
  const model = createPlatformModel();
  const platform = createMemoryPlatform(model, clock);
  const engines = createMemoryEngines({ clock, reportLag: 100 as Ms });
  const trusted = seedExampleBundle(model, buildVariant(0));
  const streams: StreamRecord[] = [];
  const onceCalls: OnceRecord[] = [];
  const runs = new Map<string, number>();
  const starts: { prompt: string; engine: number; at: number }[] = [];
  const leavingPeriods: { engine: number; from: number; until: number }[] = [];
  const adoptedHeads: BundleHead[][] = [];
  let boxesCreated = 0;

  const createEngine = (engine: number) => {
    const host = createEngineHost({
      profile: FAST_ENGINE,
      models: ["redac-llm"],
      checksOrders: true,
      seed: engine,
      clock,
    });
    const start = (request: StartRequest) => {
      const started = host.start(request);
      if (started.ok) starts.push({ prompt: request.prompt, engine, at: clock.now() });
      return started;
    };
    engines.setHost(toAddress(engine), { ...host, start });
  };

  const createBox = (): SimulatedBox => {
    boxesCreated += 1;
    const adopted: BundleHead[] = [];
    adoptedHeads.push(adopted);
    const listLeaving = () =>
      leavingPeriods.filter(({ until }) => until === Infinity).map((one) => one.engine);
    return createSimulatedBox({
      clock,
      engines: engines.client,
      platform,
      trusted,
      variant,
      adopted,
      seed: boxesCreated,
      listLeaving,
    });
  };

  const index = indexBundle({
    head: signExampleBundle(buildVariant(0), 1).head,
    bundle: buildVariant(0),
  });

  /** Creates the sink of one connection of a caller. It ignores what arrives after the connection closed. */
  const createSink = (record: StreamRecord): AnswerSink => {
    record.connection += 1;
    const connection = record.connection;
    const isCurrent = () => record.ending === "open" && record.connection === connection;
    const finish = (ending: StreamRecord["ending"], outcome?: Outcome) => {
      if (!isCurrent()) return;
      record.ending = ending;
      record.outcome = outcome;
    };
    return {
      onToken: (tokenIndex, text, { server, generation }) => {
        if (!isCurrent()) return true;
        record.tokens.push(text);
        record.continuation = { server, generation, nextIndex: tokenIndex + 1 };
        return true;
      },
      onDiscard: () => {
        if (isCurrent()) record.tokens.length = 0;
      },
      onEnd: (_end, { server, generation }) => {
        if (!isCurrent()) return;
        record.continuation = { server, generation, nextIndex: record.tokens.length };
        finish("whole");
      },
      onRefused: ({ outcome }) => finish("refused", outcome),
      onFailed: ({ outcome }) => finish("failed", outcome),
    };
  };

  const runStream = (
    box: SimulatedBox,
    record: StreamRecord,
    continuation?: Continuation,
  ) => {
    const sink = createSink(record);
    const handle = box.relay.run({
      call: {
        id: `${record.id}-${starts.length}-${streams.length}` as RequestId,
        workspace: WORKSPACE,
        model: "redac-llm" as ModelName,
        adapter: undefined,
        prompt: `${record.id} [length=${record.length}]`,
        promptTokens: 10,
        maxTokens: 100,
        stop: [],
        temperature: undefined,
      },
      index,
      deliversAtOnce: !record.isWhole,
      mayRunAgain: true,
      ...(continuation ? { continuation } : {}),
      sink: variant.wrapSink?.(sink) ?? sink,
    });
    record.handle = handle;
    // The caller may have left while the box was paused.
    if (record.ending === "left") handle.leave();
  };

  const findStream = (which: number, endings: readonly StreamRecord["ending"][]) => {
    const found = streams.filter((record) => endings.includes(record.ending));
    return found[which % Math.max(1, found.length)];
  };

  const callOnce = (box: SimulatedBox, command: Extract<Command, { kind: "once" }>) => {
    const { key, content, how } = command;
    const record: OnceRecord = {
      key,
      content,
      wasSent: false,
      answer: undefined,
      outcome: undefined,
    };
    onceCalls.push(record);
    box.gate.run(() =>
      box.guard.claim(
        { key: { workspace: WORKSPACE, key }, contentHash: content },
        {
          onSend: (claimed) => {
            record.wasSent = true;
            if (how === "refuse") {
              record.outcome = "not_run";
              void claimed.recordFailure("not_run");
              return;
            }
            runs.set(key, (runs.get(key) ?? 0) + 1);
            if (how === "lose") {
              record.outcome = "unknown";
              void claimed.recordFailure("unknown");
              return;
            }
            record.answer = `${key} ${content}`;
            void claimed.recordAnswer({ status: 200, headers: {}, body: record.answer });
          },
          onReplay: (kept) => {
            record.answer = kept.body;
          },
          onRefused: (_reason, outcome) => {
            record.outcome = outcome;
          },
        },
      ),
    );
  };

  /** Signs a bundle as an operator and tries to store it as the next version. */
  const writeHead = async (bundleVariant: number) => {
    const row = await platform.table.read(HEAD_ROW);
    if (row.err || !row.val) return;
    const version = (JSON.parse(row.val.value) as BundleHead).version + 1;
    const { head, content } = signExampleBundle(buildVariant(bundleVariant), version);
    const stored = await platform.objects.write(toObjectName(head.digest), content);
    if (stored.err && stored.val.kind === "store_unavailable") return;
    const { revision } = row.val;
    const expected = { kind: "revision", revision } as const;
    await platform.table.write({ at: HEAD_ROW, value: encodeHead(head), expected });
  };

  const setLeaving = (engine: number, isLeaving: boolean) => {
    const open = leavingPeriods.find(
      (one) => one.engine === engine && one.until === Infinity,
    );
    if (isLeaving && !open)
      leavingPeriods.push({ engine, from: clock.now(), until: Infinity });
    if (!isLeaving && open) open.until = clock.now();
    for (const { gate, mark } of boxes) gate.run(() => mark(engine, isLeaving));
  };

  const restartBox = (which: number) => {
    const killed = boxes[which]!;
    killed.gate.kill();
    killed.relay.stop();
    for (const record of streams) {
      if (record.ending === "open" && owners.get(record) === killed)
        record.ending = "left";
    }
    boxes[which] = createBox();
  };

  const owners = new Map<StreamRecord, SimulatedBox>();

  const apply = (command: Command): void => {
    switch (command.kind) {
      case "stream": {
        const { length, isWhole } = command;
        const record: StreamRecord = {
          id: `s${streams.length}`,
          length,
          isWhole,
          tokens: [],
          continuation: undefined,
          ending: "open",
          outcome: undefined,
          handle: undefined,
          connection: 0,
        };
        streams.push(record);
        const box = boxes[command.box]!;
        owners.set(record, box);
        box.gate.run(() => runStream(box, record));
        return;
      }
      case "leave": {
        const record = findStream(command.which, ["open"]);
        if (!record) return;
        record.ending = "left";
        owners.get(record)?.gate.run(() => record.handle?.leave());
        return;
      }
      case "resume": {
        const record = findStream(command.which, ["left"]);
        if (!record || record.isWhole || !record.continuation) return;
        const box = boxes[command.box]!;
        const { continuation } = record;
        owners.set(record, box);
        record.ending = "open";
        box.gate.run(() => runStream(box, record, continuation));
        return;
      }
      case "once":
        return callOnce(boxes[command.box]!, command);
      case "killBox":
        return restartBox(command.box);
      case "pauseBox":
        return boxes[command.box]!.gate.pause();
      case "openBox":
        return boxes[command.box]!.gate.open();
      case "killEngine":
        return engines.setHost(toAddress(command.engine), undefined);
      case "reviveEngine":
        return createEngine(command.engine);
      case "cutLinks":
        return engines.cutLinks(toAddress(command.engine));
      case "stallEngine":
        return engines.setStalled(toAddress(command.engine), command.isStalled);
      case "markLeaving":
        return setLeaving(command.engine, command.isLeaving);
      case "repeatFrames":
        return engines.repeatFrames(command.everyNth);
      case "store": {
        const { isDown, delayMs, answersToLose } = command;
        return model.setMode({ isDown, delayMs, answersToLose });
      }
      case "rollOut":
        void writeHead(command.variant);
        return;
      case "wait":
        return;
    }
  };

  for (let engine = 0; engine < ENGINE_COUNT; engine += 1) createEngine(engine);
  const boxes = Array.from({ length: BOX_COUNT }, createBox);
  await advanceSettled(clock, WARM_UP_MS);
  for (const command of commands) {
    apply(command);
    await advanceSettled(clock, (command.kind === "wait" ? command.ms : 1) as Ms);
  }

  // Lift every fault and let all that runs finish.
  for (const { gate } of boxes) gate.open();
  model.setMode({ isDown: false, delayMs: 0, answersToLose: 0 });
  for (let engine = 0; engine < ENGINE_COUNT; engine += 1) {
    engines.setStalled(toAddress(engine), false);
    createEngine(engine);
    setLeaving(engine, false);
  }
  await advanceSettled(clock, SETTLE_MS);
  for (const { relay } of boxes) relay.stop();
  const row = model.readRow(HEAD_ROW);
  return {
    streams,
    onceCalls,
    runs,
    starts,
    leavingPeriods,
    adoptedHeads,
    finalHead: row ? (JSON.parse(row.value) as BundleHead).version : 0,
    finalVersions: boxes.map(({ adopted }) => adopted.at(-1)?.version ?? 0),
  };
};
