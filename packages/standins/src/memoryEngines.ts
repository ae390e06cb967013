/** Stand-in engines in memory, without network. They implement the interface of the engine client, and tests can set faults. */
import {
  Err,
  Ok,
  type Clock,
  type GenerationId,
  type Ms,
  type Result,
} from "@stairgauge/common";
import type {
  EngineAddress,
  EngineClient,
  EngineLink,
  LinkHandlers,
  LoadReport,
} from "@stairgauge/engines";
import type { LinkFailure } from "@stairgauge/outcomes";
import type { EngineFrame } from "@stairgauge/streams";
import type { EngineHost, EngineRefusal } from "./engineHost.js";

const HEARTBEAT_MS = 1_000 as Ms;
const UNREACHABLE: LinkFailure = { kind: "connect_failed", detail: "engine is dead" };
const DIED: LinkFailure = { kind: "closed_early", detail: "engine died" };

type OpenLink = Readonly<{
  address: EngineAddress;
  sendAvailable: () => void;
  cut: () => void;
}>;

/** Engines in this process, and the faults that a test can set. */
export type MemoryEngines = Readonly<{
  client: EngineClient;
  /** Sets the engine at an address; undefined removes it. Links to the address break. */
  setHost: (address: EngineAddress, host: EngineHost | undefined) => void;
  /** While stalled, nothing is delivered; afterwards the delayed frames of open links are. */
  setStalled: (address: EngineAddress, isStalled: boolean) => void;
  /** While frozen, each engine's last load report that was read is returned again, as if reports came very late. */
  setReportsFrozen: (isFrozen: boolean) => void;
  /** Breaks all links to an engine; the engine keeps generating. */
  cutLinks: (address: EngineAddress) => void;
  /** Delivers every n-th frame twice; 0 for no repeats. */
  repeatFrames: (everyNth: number) => void;
}>;

const toFailure = (refusal: EngineRefusal): LinkFailure =>
  refusal.kind === "generation_gone"
    ? { kind: "generation_gone" }
    : {
        kind: "refused",
        status: 503,
        ranNothing: true,
        isLeaving: refusal.kind === "leaving",
      };

/** Creates an empty set of engines. `reportLag` is how old a load report is when it arrives. */
export const createMemoryEngines = (options: {
  readonly clock: Clock;
  readonly reportLag: Ms;
}): MemoryEngines => {
  const { clock } = options;
  const hosts = new Map<EngineAddress, EngineHost>();
  const stalled = new Set<EngineAddress>();
  const links = new Set<OpenLink>();
  const frozenReports = new Map<EngineAddress, LoadReport>();
  let areReportsFrozen = false;
  let repeatEvery = 0;
  let frames = 0;

  const sendFrame = (handlers: LinkHandlers, frame: EngineFrame) => {
    frames += 1;
    handlers.onFrame(frame);
    if (repeatEvery > 0 && frames % repeatEvery === 0) handlers.onFrame(frame);
  };

  const openLink = (opening: {
    readonly address: EngineAddress;
    readonly host: EngineHost;
    readonly generation: GenerationId;
    readonly from: number;
    readonly handlers: LinkHandlers;
  }): EngineLink => {
    const { address, host, generation, handlers } = opening;
    let index = opening.from;
    let isOpen = true;
    let isPaused = false;

    const close = () => {
      isOpen = false;
      host.detach(generation, reader);
      links.delete(link);
    };
    const end = (failure: LinkFailure | undefined) => {
      if (!isOpen) return;
      close();
      handlers.onEnd(failure);
    };
    const sendAvailable = () => {
      while (isOpen && !isPaused && !stalled.has(address)) {
        const frame = host.getFrame(generation, index);
        if (frame === undefined) return;
        if (frame === "gone") {
          end({ kind: "closed_early", detail: "generation gone" });
          return;
        }
        index += 1;
        sendFrame(handlers, frame);
        if (frame.kind === "end") end(undefined);
      }
    };
    const scheduleHeartbeat = () => {
      clock.setTimer(HEARTBEAT_MS, () => {
        if (!isOpen) return;
        if (!stalled.has(address)) handlers.onFrame({ kind: "heartbeat" });
        scheduleHeartbeat();
      });
    };
    const reader = { notify: sendAvailable };
    const link: OpenLink = { address, sendAvailable, cut: () => end(DIED) };

    links.add(link);
    if (!host.attach(generation, reader)) {
      clock.setTimer(0 as Ms, () => end({ kind: "generation_gone" }));
    } else {
      scheduleHeartbeat();
      clock.setTimer(0 as Ms, sendAvailable);
    }
    return {
      pause: () => {
        isPaused = true;
      },
      resume: () => {
        isPaused = false;
        sendAvailable();
      },
      close: () => {
        if (isOpen) close();
      },
    };
  };

  /** Returns a link that ends with the failure after the caller has returned. */
  const failLater = (failure: LinkFailure, handlers: LinkHandlers): EngineLink => {
    const timer = clock.setTimer(0 as Ms, () => handlers.onEnd(failure));
    return { pause: () => undefined, resume: () => undefined, close: timer.cancel };
  };

  /** Returns a link that never delivers anything. */
  const openSilentLink = (): EngineLink => ({
    pause: () => undefined,
    resume: () => undefined,
    close: () => undefined,
  });

  const callHost = <T>(
    address: EngineAddress,
    run: (host: EngineHost) => T,
  ): Promise<Result<T, LinkFailure>> => {
    const host = hosts.get(address);
    if (!host) return Promise.resolve(Err(UNREACHABLE));
    if (stalled.has(address)) return Promise.resolve(Err({ kind: "silent" }));
    return Promise.resolve(Ok(run(host)));
  };

  const readReport = (address: EngineAddress, host: EngineHost): LoadReport => {
    const frozen = frozenReports.get(address);
    if (areReportsFrozen && frozen) return frozen;
    const report = host.getReport();
    frozenReports.set(address, report);
    return report;
  };

  const client: EngineClient = {
    openStart: (address, request, handlers) => {
      const host = hosts.get(address);
      if (!host) return failLater(UNREACHABLE, handlers);
      if (stalled.has(address)) return openSilentLink();
      const started = host.start(request);
      if (started.err) return failLater(toFailure(started.val), handlers);
      return openLink({
        address,
        host,
        generation: request.generation,
        from: 0,
        handlers,
      });
    },
    openResume: (address, { generation, from }, handlers) => {
      const host = hosts.get(address);
      if (!host) return failLater(UNREACHABLE, handlers);
      if (stalled.has(address)) return openSilentLink();
      return openLink({ address, host, generation, from, handlers });
    },
    cancel: (address, { generation, onlyIfDetached }) =>
      callHost(address, (host) => host.cancel(generation, onlyIfDetached)),
    setPaused: async (address, { generation, isPaused }) => {
      const result = await callHost(address, (host) =>
        host.setPaused(generation, isPaused),
      );
      if (result.err) return result;
      return result.val.err ? Err(toFailure(result.val.val)) : Ok(undefined);
    },
    readLoad: async (address) => {
      const result = await callHost(address, (host) => readReport(address, host));
      if (result.err || options.reportLag === 0) return result;
      return new Promise((resolve) => {
        clock.setTimer(options.reportLag, () => resolve(result));
      });
    },
    readCacheEvents: (address, after) =>
      callHost(address, (host) => host.listCacheEvents(after)),
    sendOrder: async (address, order) => {
      const result = await callHost(address, (host) => host.applyOrder(order));
      if (result.err) return result;
      return result.val.err ? Err(toFailure(result.val.val)) : Ok(undefined);
    },
    close: () => Promise.resolve(),
  };

  const breakLinks = (address: EngineAddress) => {
    for (const link of [...links]) if (link.address === address) link.cut();
  };

  return {
    client,
    setHost: (address, host) => {
      if (host) hosts.set(address, host);
      else hosts.delete(address);
      breakLinks(address);
    },
    setStalled: (address, isStalled) => {
      if (isStalled) stalled.add(address);
      else stalled.delete(address);
      for (const link of [...links]) if (link.address === address) link.sendAvailable();
    },
    setReportsFrozen: (isFrozen) => {
      areReportsFrozen = isFrozen;
    },
    cutLinks: breakLinks,
    repeatFrames: (everyNth) => {
      repeatEvery = everyNth;
    },
  };
};
