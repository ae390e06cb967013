/** Orders to engines, sent by one box at a time under a lease with fencing tokens. */
export { createOrderLease } from "./orderLease.js";
export type { HeldLease, LeaseFailure, OrderLease } from "./orderLease.js";
export { createOrderSender } from "./orderSender.js";
export type { OrderContent, OrderFailure, OrderSender } from "./orderSender.js";
