/** What the forwarder needs of placement. */
import type { ServiceName } from "@stairgauge/common";
import type { BackendServer, ServerId } from "@stairgauge/directory";
import type { Demand, PlacementDecision, StreamBinding } from "@stairgauge/placement";
import type { ServerStatus } from "./describeAnswerEnd.js";
import type { RequestHead } from "./types.js";

/** Chooses servers, and keeps track of the requests at each. */
export type Placer = Readonly<{
  choose: (
    service: ServiceName,
    demand: Demand,
    except: ReadonlySet<ServerId>,
  ) => PlacementDecision;
  /** Records that a request was admitted; it may then be placed any number of times, or never. */
  recordArrival: (service: ServiceName, tier: number) => void;
  /** Counts a request at a server until the returned function is called. */
  place: (server: BackendServer, head: RequestHead, demand: Demand) => () => void;
  /** The server sent the first event of a run. */
  onRunBegun: (server: BackendServer, head: RequestHead) => void;
  /** Number of requests at a server, by this box's records. */
  countRequestsAt: (server: BackendServer) => number;
  /** Whether a server gets no new work because it is about to stop. */
  isLeaving: (server: BackendServer) => boolean;
  /** Current status of a server. */
  getServerStatus: (server: BackendServer) => ServerStatus;
  /** The server's address belongs to another server now. */
  onAddressReused: (server: BackendServer) => void;
  /** No connection was established: the server may be dead although it is still listed. */
  onUnreachable: (server: BackendServer) => void;
  /**
   * The server broke the connection of a request before it answered. `checked` resolves once it is known
   * whether only this box has lost its path to the server.
   */
  onBroken: (server: BackendServer, checked: Promise<unknown>) => void;
  /** The server has started to answer a request. */
  onAnswered: (server: BackendServer) => void;
  /** Whether the server may get a health check now. It occupies a slot, so true counts as a request there. */
  takeAsk: (server: BackendServer) => boolean;
  /** What binds a stream whose first event the server has sent. */
  getBinding: (server: BackendServer) => StreamBinding;
  /** Whether a started run may continue at the server now; true counts as a request there. */
  takeContinuation: (
    server: BackendServer,
    binding: StreamBinding | undefined,
  ) => boolean;
  /** Sends the server a call; resolves with whether it answers at all. */
  isAlive: (server: BackendServer) => Promise<boolean>;
}>;
