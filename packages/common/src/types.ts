/** Branded ids and units shared by every package. */

declare const brand: unique symbol;

/** A primitive that the compiler keeps apart from other primitives of the same type. */
export type Brand<T, Name extends string> = T & { readonly [brand]: Name };

/** Milliseconds, as a duration or as a point on a clock. */
export type Ms = Brand<number, "Ms">;

/** Name of a workspace as the bundle gives it. */
export type WorkspaceName = Brand<string, "WorkspaceName">;

/** Name of a model as the bundle gives it. */
export type ModelName = Brand<string, "ModelName">;

/** Name of a plain service as the bundle gives it. */
export type ServiceName = Brand<string, "ServiceName">;

/** Name of a backend server (an engine or a plain service's server) as the bundle gives it. */
export type BackendServerName = Brand<string, "BackendServerName">;

/** Name of a data hall. */
export type DataHallName = Brand<string, "DataHallName">;

/** Name of a region, which holds some data halls. */
export type RegionName = Brand<string, "RegionName">;

/** Name of an entry box, from its settings. */
export type BoxName = Brand<string, "BoxName">;

/** Identity of one caller's request, minted by the entry box. */
export type RequestId = Brand<string, "RequestId">;

/** Identity of one generation on one engine, minted by the entry box for each attempt. */
export type GenerationId = Brand<string, "GenerationId">;
