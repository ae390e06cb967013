/**
 * What boxes tell each other: the runs that each has placed, and servers that leave. It is advice; no promise
 * rests on it.
 */
import type { BoxName } from "@stairgauge/common";
import type { ServerAddress, ServerId } from "@stairgauge/directory";
import type { PlacedRun } from "@stairgauge/placement";

/** A box that takes part. */
export type Peer = Readonly<{ box: BoxName; address: ServerAddress }>;

/** A server that leaves, and whether the box knows it only from the entry that is gone. */
export type ToldLeaving = Readonly<{ server: ServerId; isEntryGone: boolean }>;

/** Changes of one box's runs, or all of them. */
export type RunUpdate = Readonly<{
  box: BoxName;
  /** The whole state: what it does not name is gone. */
  isWhole: boolean;
  put: readonly Readonly<{ server: ServerId; run: PlacedRun }>[];
  drop: readonly Readonly<{ server: ServerId; id: string }>[];
  /** Servers that get no new work, as far as the box knows. */
  leaving: readonly ToldLeaving[];
}>;
