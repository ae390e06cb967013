/** Orders to engines: one box at a time, fenced. */
export { createOrderLease } from "./orderLease.js";
export type { HeldLease, LeaseFailure, OrderLease } from "./orderLease.js";
export { createOrderSender } from "./orderSender.js";
export type { OrderContent, OrderFailure, OrderSender } from "./orderSender.js";
