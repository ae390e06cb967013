/** Sends orders to an engine while this box holds the engine's lease. */
import { Err, waitFor, type Clock, type Ms, type Result } from "@stairgauge/common";
import type { EngineAddress, EngineClient, EngineOrder } from "@stairgauge/engines";
import type { LinkFailure } from "@stairgauge/outcomes";
import { ORDER_LIFE_MS } from "./constants.js";
import type { LeaseFailure, OrderLease } from "./orderLease.js";

type WithoutFence<T> = T extends unknown ? Omit<T, "fencingToken" | "deadlineAt"> : never;

/** An order without its fencing token and deadline. */
export type OrderContent = WithoutFence<EngineOrder>;

/** Why an order was not confirmed by the engine. */
export type OrderFailure = Readonly<
  | { kind: "no_lease"; failure: LeaseFailure }
  /** The lease ran out after it was acquired and before the order was sent. Nothing was sent. */
  | { kind: "lease_lapsed" }
  | { kind: "not_delivered"; failure: LinkFailure }
>;

/** Sends orders to one engine. */
export type OrderSender = Readonly<{
  send: (order: OrderContent) => Promise<Result<void, OrderFailure>>;
}>;

/** Creates a sender. `checksOrders` is true if the engine checks fencing tokens. */
export const createOrderSender = (options: {
  readonly lease: OrderLease;
  readonly engines: EngineClient;
  readonly clock: Clock;
  readonly address: EngineAddress;
  readonly checksOrders: boolean;
}): OrderSender => {
  const { lease, engines, clock } = options;

  const send = async (order: OrderContent): Promise<Result<void, OrderFailure>> => {
    const acquired = await lease.acquire();
    if (acquired.err) return Err({ kind: "no_lease", failure: acquired.val });
    const quiet = (acquired.val.quietUntil - clock.monotonic()) as Ms;
    if (!options.checksOrders && quiet > 0) await waitFor(clock, quiet);
    // NOTE: checked just before sending, on the monotonic clock, so that a process that was suspended
    // past its lease sends nothing.
    const usable = lease.getUsable();
    if (!usable) return Err({ kind: "lease_lapsed" });
    const { fencingToken } = usable;
    const deadlineAt = (clock.now() + ORDER_LIFE_MS) as Ms;
    const fenced = { ...order, fencingToken, deadlineAt } as EngineOrder;
    const sent = await engines.sendOrder(options.address, fenced);
    return sent.err ? Err({ kind: "not_delivered", failure: sent.val }) : sent;
  };

  return { send };
};
