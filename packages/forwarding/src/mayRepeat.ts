/** Whether requests of a route may run more than once. Pure. */
import type { Route } from "@stairgauge/routing";

/** Whether a request of the route may run again after an attempt that may have run. */
export const mayRepeat = (route: Route): boolean =>
  route.kind === "repeatable" || (route.kind === "stream" && route.isResumable);
