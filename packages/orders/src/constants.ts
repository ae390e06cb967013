/** Durations of the lease that a box must hold to send orders to an engine. */
import type { Ms } from "@stairgauge/common";

/** How long a lease is valid, counted from the start of its write. */
export const LEASE_MS = 15_000 as Ms;

/** Time before the lease's end in which no order is sent, to allow for clock drift and network delay. */
export const LEASE_MARGIN_MS = 3_000 as Ms;

/** Time until an order's deadline. An engine does not start an order after its deadline. */
export const ORDER_LIFE_MS = 5_000 as Ms;
