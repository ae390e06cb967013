#!/usr/bin/env node
/** `npm run standins -- …`: serves the stand-ins as processes of their own. */
import {
  binary,
  command,
  flag,
  multioption,
  array,
  number,
  oneOf,
  optional,
  option,
  run,
  string,
  subcommands,
} from "cmd-ts";
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { createSystemClock, type Clock } from "@stairgauge/common";
import type { HttpRoute } from "@stairgauge/http";
import {
  buildExampleBundle,
  createEngineHost,
  createEngineRoutes,
  createPlatformModel,
  createPlatformRoutes,
  createServiceRoutes,
  createStandinServer,
  EXAMPLE_ENGINE,
  formatBoxSettings,
  seedExampleBundle,
  SITE_HOST,
  SITE_KEY,
  startUsersSite,
  startWireEngine,
  type StartTimeLocation,
} from "@stairgauge/standins";

const LOOPBACK = "127.0.0.1";

const clock: Clock = createSystemClock();

const port = option({
  type: number,
  long: "port",
  description: "port on 127.0.0.1, 0 for any",
});

/** Serves until a signal; prints the address as one line, which tests wait for. */
const serve = async (name: string, routes: readonly HttpRoute[], atPort: number) => {
  const server = createStandinServer(routes);
  const bound = await server.open(LOOPBACK, atPort);
  process.stdout.write(`${name} on ${LOOPBACK}:${bound}\n`);
  const stop = () => process.exit(0);
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
};

const engine = command({
  name: "engine",
  args: {
    port,
    seed: option({ type: number, long: "seed", defaultValue: () => 1 }),
    model: option({ type: string, long: "model", defaultValue: () => "redac-llm" }),
    stepMs: option({
      type: number,
      long: "step-ms",
      description: "fixed part of a decoding step",
      defaultValue: () => EXAMPLE_ENGINE.stepBaseMs,
    }),
  },
  handler: (args) => {
    const profile = { ...EXAMPLE_ENGINE, stepBaseMs: args.stepMs };
    const models = [args.model];
    const host = createEngineHost({
      profile,
      models,
      checksOrders: true,
      seed: args.seed,
      clock,
    });
    return serve("engine", createEngineRoutes(host, clock), args.port);
  },
});

const service = command({
  name: "service",
  args: {
    port,
    name: option({ type: string, long: "name", defaultValue: () => "annonces" }),
  },
  handler: (args) => serve("service", createServiceRoutes(args.name, clock), args.port),
});

const platform = command({
  name: "platform",
  description: "table, object store and box list, with the example bundle in force",
  args: {
    port,
    engines: multioption({ type: array(string), long: "engine", description: "IP:PORT" }),
    isRoomy: flag({ long: "roomy", description: "engines without narrow limits" }),
    services: multioption({
      type: array(string),
      long: "service",
      description: "IP:PORT",
    }),
  },
  handler: (args) => {
    const model = createPlatformModel();
    seedExampleBundle(model, buildExampleBundle(args));
    return serve("platform", createPlatformRoutes(model, clock), args.port);
  },
});

/** Ports between the first one of a box and the next box's. */
const PORTS_EACH = 10;

const users = command({
  name: "users",
  description:
    "the users' platform: store, engines, plain servers, and settings for boxes",
  args: {
    engines: option({ type: number, long: "engines", defaultValue: () => 3 }),
    services: option({ type: number, long: "services", defaultValue: () => 2 }),
    boxes: option({ type: number, long: "boxes", defaultValue: () => 2 }),
    firstPort: option({ type: number, long: "first-port", defaultValue: () => 8100 }),
    folder: option({ type: string, long: "folder", defaultValue: () => "target" }),
  },
  handler: async ({ engines, services, boxes, firstPort, folder }) => {
    const site = await startUsersSite({ engines, services });
    site.putConfiguration();
    mkdirSync(folder, { recursive: true });
    for (let index = 0; index < boxes; index += 1) {
      const name = `box-${index + 1}`;
      const path = join(folder, `${name}.yaml`);
      const settings = formatBoxSettings({
        name,
        storeAddress: site.store.address,
        firstPort: firstPort + index * PORTS_EACH,
      });
      writeFileSync(path, settings);
      process.stdout.write(`settings of ${name}: ${path}\n`);
    }
    process.stdout.write(`users' site for Host: ${SITE_HOST}, Token ${SITE_KEY}\n`);
    const stop = () => process.exit(0);
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
  },
});

const usersEngine = command({
  name: "users-engine",
  description:
    "a bare engine of the users' platform; SIGUSR2 lets held streams go, SIGHUP leaves the address",
  args: {
    port,
    id: option({ type: string, long: "id", defaultValue: () => "engine" }),
    holds: flag({ long: "holds", description: "new streams, where their requests ask" }),
    born: option({
      type: optional(number),
      long: "born",
      description: "its start, in Unix milliseconds",
    }),
    bornIn: option({
      type: oneOf<StartTimeLocation>(["header", "body", "report"]),
      long: "born-in",
      description: "where it says so",
      defaultValue: () => "body" as const,
    }),
  },
  handler: async ({ born, bornIn, ...args }) => {
    const onHeld = (request: string) => process.stdout.write(`held ${request}\n`);
    const { address, releaseHeld, stopListening } = await startWireEngine({
      ...args,
      startTime: born === undefined ? undefined : { at: born, reportedIn: bornIn },
      onHeld,
    });
    process.on("SIGUSR2", releaseHeld);
    process.on("SIGHUP", () => {
      stopListening();
      process.stdout.write("left its address\n");
    });
    process.on("SIGTERM", () => process.exit(0));
    process.stdout.write(`engine on ${address}\n`);
  },
});

await run(
  binary(
    subcommands({
      name: "standins",
      cmds: { engine, service, platform, users, "users-engine": usersEngine },
    }),
  ),
  process.argv,
);
