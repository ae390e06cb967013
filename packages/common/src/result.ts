/**
 * The one place that imports ts-results.
 *
 * NOTE: ts-results is CommonJS whose names Node's ESM loader does not see, so only its
 * default import works under plain node.
 */
import tsResults from "ts-results";
import type { Result as TsResult, Ok as TsOk, Err as TsErr } from "ts-results";

/** Makes a successful result. */
export const Ok = tsResults.Ok;

/** Makes a failed result; its payload is a typed failure, never a bare string. */
export const Err = tsResults.Err;

/** Either a value or a typed failure, both under `.val`. */
export type Result<T, E> = TsResult<T, E>;

/** The successful arm of a result. */
export type Ok<T> = TsOk<T>;

/** The failed arm of a result. */
export type Err<E> = TsErr<E>;
