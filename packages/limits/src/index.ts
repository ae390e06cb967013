/** Limits that backend servers in need name in their answers, and what boxes that know one send. */
export type * from "./types.js";
export { createLimitBook } from "./limitBook.js";
export type { LimitBook, LimitBookOptions } from "./limitBook.js";
