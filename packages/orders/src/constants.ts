/** Times of the lease under which engines are given orders. */
import type { Ms } from "@stairgauge/common";

/** How long a lease is good after its write was begun. */
export const LEASE_MS = 15_000 as Ms;

/** Part of the lease's end that is not used, for clocks that run apart and for the way. */
export const LEASE_MARGIN_MS = 3_000 as Ms;

/** Longest life of an order: an engine does not begin it later. */
export const ORDER_LIFE_MS = 5_000 as Ms;
