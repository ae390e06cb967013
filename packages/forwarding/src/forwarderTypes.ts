/** The forwarder's dependencies. Only the files that connect its parts import them. */
import type { Clock, Ms, Random } from "@stairgauge/common";
import type { RequestGuard } from "@stairgauge/crashes";
import type { StreamOrigins } from "@stairgauge/origins";
import type { UnreadLimit } from "@stairgauge/saturation";
import type { ReceivedSignals } from "@stairgauge/signals";
import type { ActiveRuns, RunKeeper } from "./activeRuns.js";
import type { ConfigurationView } from "./configurationView.js";
import type { CrashDetector } from "./crashDetector.js";
import type { ServerAsker } from "./createServerAsker.js";
import type { ForwardObserver } from "./forwardDecision.js";
import type { PaceObserver } from "./observePace.js";
import type { PlacementAdvisor } from "./placeByAdvice.js";
import type { PlainAdmission } from "./placePlainRequest.js";
import type { GenerationQueue } from "./placeOrWait.js";
import type { Placer } from "./placer.js";
import type { ReclaimableMemory } from "./reclaimableMemory.js";
import type { RetryBudget } from "./retryBudget.js";
import type { ServerExchanges } from "./serverExchanges.js";
import type { HeadCodec } from "./types.js";

/** Dependencies of the forwarder. */
export type ForwarderDeps = Readonly<{
  clock: Clock;
  random: Random;
  codec: HeadCodec;
  configuration: ConfigurationView;
  placer: Placer;
  budget: RetryBudget;
  runs: ActiveRuns;
  waitQueue: GenerationQueue;
  advisor: PlacementAdvisor;
  plainAdmission: PlainAdmission;
  runKeeper: RunKeeper;
  pace: PaceObserver;
  origins: Pick<StreamOrigins, "resolve" | "recordBegun" | "recordWhole">;
  guard: Pick<
    RequestGuard,
    "findBlock" | "mayResend" | "recordCrash" | "recordServed" | "recordSurvived"
  >;
  /** Handles the signals that an answer carries about its server. */
  dispatchSignals: (received: ReceivedSignals) => void;
  observer: ForwardObserver;
  /**
   * Whether this box lacks processor time. Answers then end their connections, so that clients with kept connections
   * go to other boxes as well.
   */
  isShort: () => boolean;
  /** Learns from requests and their answers how long a connection may stay unread. */
  unreadLimit: Pick<UnreadLimit, "recordRead" | "recordAnswer">;
  exchanges: ServerExchanges;
  /** Delay after which a refused client should retry. */
  retryAfter: Ms;
  /** Timeout for establishing a connection to a server. */
  connectLimit: Ms;
  /** Largest total size of request bodies in memory; requests beyond it are refused without being run. */
  maxHeldBytes: number;
  /** Most bytes of servers' answers that are held at once; beyond it, those that have been held for longest give way. */
  maxHeldAnswerBytes: number;
}>;

/** Dependencies of a dispatch: those of the forwarder, and what all its dispatches share. */
export type DispatchDeps = ForwarderDeps &
  Readonly<{
    askServer: ServerAsker;
    crashDetector: CrashDetector;
    answerMemory: ReclaimableMemory;
  }>;
