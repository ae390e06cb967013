#!/usr/bin/env node
/** `npm run measure:box`: CPU time of a box of the production bundle, by what it does, in milliseconds. */
import { command, number, option, run, string } from "cmd-ts";
import { startUsersSite, type UsersSite } from "@stairgauge/standins";
import { BUILT_BUNDLE } from "./boxCost/boxProcess.js";
import { measureAlone, measureFleet } from "./boxCost/probes.js";
import { formatSummary, combineFigures } from "./boxCost/combineFigures.js";
import type { Figures } from "./boxCost/types.js";

/** Far more than the requests of a run, because a box uses only its share of the connections that a server accepts. */
const MAX_CONNECTIONS = 5_000;

const withSite = async (
  size: Readonly<{ engines: number; services: number }>,
  measure: (site: UsersSite) => Promise<Figures>,
): Promise<Figures> => {
  const site = await startUsersSite(size);
  site.limitConnections(MAX_CONNECTIONS);
  try {
    return await measure(site);
  } finally {
    site.close();
  }
};

const app = command({
  name: "measure:box",
  description: "CPU time of a box, by what it does",
  args: {
    repeats: option({ type: number, long: "repeats", defaultValue: () => 3 }),
    engines: option({ type: number, long: "engines", defaultValue: () => 8 }),
    services: option({ type: number, long: "services", defaultValue: () => 3 }),
    boxes: option({
      type: number,
      long: "boxes",
      description: "boxes of the site with hubs, 13 or more; 0 leaves it out",
      defaultValue: () => 14,
    }),
    bundle: option({
      type: string,
      long: "bundle",
      description: "start file of another build, to compare with",
      defaultValue: () => BUILT_BUNDLE,
    }),
  },
  handler: async ({ repeats, engines, services, boxes, bundle }) => {
    const size = { engines, services };
    const all: Figures[] = [];
    for (let i = 0; i < repeats; i += 1) {
      const alone = await withSite(size, (site) => measureAlone({ site, bundle }));
      const measureBoxes = (site: UsersSite) => measureFleet(site, { boxes, bundle });
      const fleet = boxes > 0 ? await withSite(size, measureBoxes) : {};
      all.push({ ...alone, ...fleet });
    }
    process.stdout.write(`ms of CPU time, median of ${repeats} (lowest to highest)\n`);
    for (const summary of combineFigures(all))
      process.stdout.write(`${formatSummary(summary)}\n`);
    process.exit(0);
  },
});

await run(app, process.argv.slice(2));
