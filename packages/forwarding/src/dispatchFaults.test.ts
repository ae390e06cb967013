/** Guards against a request that a server may have run and whose client is told that it has not, since a step of the box threw. */
import { describe, expect, it } from "vitest";
import { createVirtualClock, type Ms, type ServiceName } from "@stairgauge/common";
import type { Route, RouteName } from "@stairgauge/routing";
import type { AdmittedRequest } from "./admittedRequest.js";
import { dispatchCall } from "./dispatchCall.js";
import type { ForwardDecision } from "./forwardDecision.js";
import type { DispatchDeps } from "./forwarderTypes.js";
import type { Exchange, ExchangeSink } from "./openExchange.js";
import { makeServer } from "./server.testkit.js";
import type { ExchangeFailure } from "./types.js";

const CLOCK = createVirtualClock();
const ROUTE: Route = {
  name: "r" as RouteName,
  host: "a.example",
  pathPrefix: "/",
  kind: "repeatable",
  isResumable: false,
  isKeyless: true,
  answerLimit: 1_000 as Ms,
  firstAnswerAim: 100 as Ms,
  pauseAim: undefined,
  maxServers: 2,
  tier: 0,
  shares: [],
};

const PLACED = {
  kind: "placed",
  server: makeServer("a"),
  reason: "least_busy",
  load: 0,
  memoryAfter: undefined,
  reportAge: undefined,
  candidates: 1,
} as const;

/** An object whose other methods do nothing. */
const createStub = <T extends object>(methods: Partial<T>): T =>
  new Proxy(methods, {
    get: (target, name) => Reflect.get(target, name) ?? (() => undefined),
  }) as T;

const failStep = () => {
  throw new Error("fault of the test");
};

type Changes = Readonly<{
  choose?: () => never;
  take?: () => never;
  open?: () => never;
  failure?: ExchangeFailure;
}>;

/** Dispatches a request whose connection its server breaks, or that fails otherwise; returns the status of its answer. */
const dispatchBroken = (changes: Changes) => {
  const { failure = { kind: "broken", detail: "ECONNRESET" } } = changes;
  let unreachable = 0;
  const statuses: number[] = [];
  const decisions: ForwardDecision["kind"][] = [];
  let sink: ExchangeSink | undefined;
  const deps = createStub<DispatchDeps>({
    clock: CLOCK,
    retryAfter: 400 as Ms,
    connectLimit: 100 as Ms,
    placer: createStub<DispatchDeps["placer"]>({
      choose: () => PLACED,
      place: () => () => undefined,
      onUnreachable: () => void (unreachable += 1),
      getServerStatus: () => ({ kind: "ready", age: undefined }),
    }),
    plainAdmission: createStub<DispatchDeps["plainAdmission"]>({
      needsAdmission: () => true,
      findAdmitting: () => "none",
      placeWithinOwnPart: changes.choose ?? (() => PLACED),
    }),
    budget: createStub<DispatchDeps["budget"]>({
      has: () => true,
      take: changes.take ?? (() => true),
    }),
    pace: createStub<DispatchDeps["pace"]>({}),
    guard: createStub<DispatchDeps["guard"]>({ mayResend: () => true }),
    crashDetector: createStub<DispatchDeps["crashDetector"]>({
      check: () => new Promise(() => undefined),
    }),
    runs: createStub<DispatchDeps["runs"]>({}),
    runKeeper: createStub<DispatchDeps["runKeeper"]>({}),
    codec: createStub<DispatchDeps["codec"]>({
      encodeOwnAnswer: () => [],
      encodeDispatch: () => [],
    }),
    observer: { onDecision: (_, { kind }) => void decisions.push(kind) },
    exchanges: createStub<DispatchDeps["exchanges"]>({
      open: (request) => {
        changes.open?.();
        sink = request.sink;
        if (changes.failure) queueMicrotask(() => request.sink.onFailure(failure));
        return createStub<Exchange>({ isSent: () => failure.kind === "broken" });
      },
    }),
  });
  const request = createStub<AdmittedRequest>({
    head: {
      id: "r1",
      method: "GET",
      target: "/",
      promptParts: [],
    } as never,
    body: Buffer.alloc(0),
    route: ROUTE,
    workspace: undefined,
    service: "s" as ServiceName,
    receivedAt: CLOCK.monotonic(),
    endsAt: (CLOCK.monotonic() + 1_000) as Ms,
    answer: createStub<AdmittedRequest["answer"]>({
      hasBegun: () => statuses.length > 0,
      isOver: () => statuses.length > 0,
      sendWhole: ({ status }) => void statuses.push(status),
    }),
  });
  dispatchCall(deps, { ...request, binding: undefined });
  if (!changes.failure) sink?.onFailure(failure);
  return { statuses, decisions, countUnreachable: () => unreachable };
};

describe("a request of which a step throws", () => {
  it("promises nothing if that is between the end of its attempt and the next one", async () => {
    const { statuses, decisions } = dispatchBroken({ take: failStep });
    await new Promise(setImmediate);
    expect(decisions).toContain("step_failed");
    expect(statuses).toEqual([502]);
  });

  it("is said not to have run if it was not sent", async () => {
    const { statuses, decisions } = dispatchBroken({ choose: failStep });
    await new Promise(setImmediate);
    expect(decisions).toContain("step_failed");
    expect(statuses).toEqual([503]);
  });

  it("is said not to have run if the call itself could not be opened", async () => {
    const { statuses, decisions } = dispatchBroken({ open: failStep });
    await new Promise(setImmediate);
    expect(decisions).toContain("step_failed");
    expect(statuses).toEqual([503]);
  });
});

describe("a request that nothing was sent of", () => {
  it.each([
    ["unreachable", 3],
    ["unsendable", 0],
  ] as const)(
    "is said not to have run, and its servers count as unreachable only if they are: %s",
    async (kind, count) => {
      const dispatched = dispatchBroken({ failure: { kind, detail: "" } });
      await new Promise(setImmediate);
      expect(dispatched.statuses).toEqual([503]);
      expect(dispatched.countUnreachable()).toBe(count);
    },
  );
});
