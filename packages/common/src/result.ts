/**
 * Re-exports ts-results; no other file imports it.
 *
 * NOTE: ts-results is a CommonJS module whose named exports Node's ESM loader does not detect, so
 * only its default import works in Node.
 */
import tsResults from "ts-results";
import type { Result as TsResult, Ok as TsOk, Err as TsErr } from "ts-results";

/** Creates a successful result. */
export const Ok = tsResults.Ok;

/** Creates a failed result; its value is a typed failure, never a plain string. */
export const Err = tsResults.Err;

/** Either a value or a typed failure; both are in `.val`. */
export type Result<T, E> = TsResult<T, E>;

/** The successful case of a result. */
export type Ok<T> = TsOk<T>;

/** The failed case of a result. */
export type Err<E> = TsErr<E>;
