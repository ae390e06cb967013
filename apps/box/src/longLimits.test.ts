/** Guards against a route "without limit", whose requests all end as out of time since its limit is longer than timers can hold. */
import { expect, it } from "vitest";
import { SITE_HOST } from "@stairgauge/standins";
import { ask, startSite, waitFor } from "./box.testkit.js";

const LIMITS_MS = [2 ** 31 - 1, 3e9, 1e12, 1e300];
const ROUTE = { host: SITE_HOST, targetLatencyMs: 200, priority: 1, service: "pages" };

it.each(LIMITS_MS)("requests with a limit of %d ms are answered", async (timeoutMs) => {
  const { site, ports, lines, start } = await startSite(0, 1);
  await start();
  const routes = [
    { ...ROUTE, name: "once", routeType: "non_idempotent", maxAttempts: 1 },
    { ...ROUTE, name: "again", routeType: "idempotent", maxAttempts: 2 },
  ].map((route) => ({ ...route, pathPrefix: `/long-${route.name}/`, timeoutMs }));
  site.putConfiguration({ routes });
  const countAdopted = () =>
    lines.filter(({ event }) => event === "configuration_adopted").length;
  await waitFor(() => countAdopted() === 2);
  for (const { pathPrefix } of routes) {
    const answer = await ask(ports, { path: pathPrefix, deadlineMs: timeoutMs });
    expect(answer.status).toBe(200);
  }
});
