#!/usr/bin/env node
/** `npm run measure:carrying`: what a plain request costs that another box carries. */
import { command, number, option, run } from "cmd-ts";
import { startUsersSite } from "@stairgauge/standins";
import { BUILT_BUNDLE } from "./boxCost/boxProcess.js";
import { measureCarrying } from "./carrying/measureCarrying.js";

const SITE_SIZE = { engines: 2, services: 4 };

/** A box uses only its share of the connections that a server accepts. */
const MAX_CONNECTIONS = 5_000;

const app = command({
  name: "measure:carrying",
  description: "time and CPU time of requests that another box carries",
  args: {
    boxes: option({
      type: number,
      long: "boxes",
      description: "boxes, half of which have lost their paths to all servers",
      defaultValue: () => 6,
    }),
  },
  handler: async ({ boxes }) => {
    const site = await startUsersSite(SITE_SIZE);
    site.limitConnections(MAX_CONNECTIONS);
    const cost = await measureCarrying({ site, boxes, bundle: BUILT_BUNDLE });
    process.stdout.write(`${boxes} boxes, half of them cut; per plain request\n`);
    for (const [name, value] of Object.entries(cost))
      process.stdout.write(`${name.padEnd(14)} ${value.toFixed(2)}\n`);
    process.exit(0);
  },
});

await run(app, process.argv.slice(2));
