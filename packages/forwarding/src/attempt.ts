/** One attempt of a request at one server, as far as it has come. */
import type { Timer } from "@stairgauge/common";
import type { BackendServer } from "@stairgauge/directory";
import type { Exchange } from "./openExchange.js";
import type { AnswerHead } from "./types.js";

/** The attempt's state; only the dispatch that made it changes it. */
export type Attempt = {
  readonly server: BackendServer;
  exchange: Exchange | undefined;
  head: AnswerHead | undefined;
  reason: string;
  isStream: boolean;
  /** The part of an answer that is held back until it is whole. */
  readonly chunks: Buffer[];
  held: number;
  /** Gives its place at the server back. */
  readonly release: () => void;
  /** Runs until the server answers. */
  silence: Timer | undefined;
};

/** Creates an attempt that has not been sent. */
export const createAttempt = (server: BackendServer, release: () => void): Attempt => ({
  server,
  exchange: undefined,
  head: undefined,
  reason: "",
  isStream: false,
  chunks: [],
  held: 0,
  release,
  silence: undefined,
});
