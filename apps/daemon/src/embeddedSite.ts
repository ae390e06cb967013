/** An example site in this process: stand-ins on loopback ports, and one box before them. */
import { createSystemClock } from "@stairgauge/common";
import type { HttpRoute } from "@stairgauge/http";
import { parseSettings } from "@stairgauge/settings";
import {
  buildExampleBundle,
  createEngineHost,
  createEngineRoutes,
  createPlatformModel,
  createPlatformRoutes,
  createServiceRoutes,
  createStandinServer,
  EXAMPLE_ENGINE,
  seedExampleBundle,
} from "@stairgauge/standins";
import type { Logger } from "@stairgauge/telemetry";
import { createDaemon } from "./createDaemon.js";

const LOOPBACK = "127.0.0.1";
const ENGINES = 3;
const SERVICE_SERVERS = 2;
const EXAMPLE_SECRET = "example-secret-example-secret-example";

/** A running example site. */
export type EmbeddedSite = Readonly<{ port: number; stop: () => Promise<void> }>;

/** Starts the site; callers reach it on `port` of the loopback address (0 for any). */
export const createEmbeddedSite = async (options: {
  readonly port: number;
  readonly logger: Logger;
}): Promise<EmbeddedSite> => {
  const clock = createSystemClock();
  const servers: ReturnType<typeof createStandinServer>[] = [];

  const serve = async (routes: readonly HttpRoute[]): Promise<string> => {
    const server = createStandinServer(routes);
    servers.push(server);
    return `${LOOPBACK}:${await server.open(LOOPBACK, 0)}`;
  };
  const serveEngine = (seed: number) => {
    const host = createEngineHost({
      profile: EXAMPLE_ENGINE,
      models: ["redac-llm"],
      checksOrders: true,
      seed,
      clock,
    });
    return serve(createEngineRoutes(host, clock));
  };

  const engines = await Promise.all(
    Array.from({ length: ENGINES }, (_, i) => serveEngine(i)),
  );
  const services = await Promise.all(
    Array.from({ length: SERVICE_SERVERS }, (_, i) =>
      serve(createServiceRoutes(`annonces-${i + 1}`, clock)),
    ),
  );
  const model = createPlatformModel();
  const platform = await serve(createPlatformRoutes(model, clock));
  const trustedOperators = seedExampleBundle(
    model,
    buildExampleBundle({ engines, services }),
  );

  const settings = parseSettings(
    JSON.stringify({
      box: "example",
      dataHall: "rennes-a",
      listen: `${LOOPBACK}:${options.port}`,
      operatorsListen: `${LOOPBACK}:0`,
      platform: { table: platform, objects: platform, boxes: platform },
      signOff: { approvalsNeeded: 1, trustedOperators },
      resumeKeys: [{ id: "example", secret: EXAMPLE_SECRET }],
    }),
  );
  if (settings.err) throw new TypeError(JSON.stringify(settings.val));
  const daemon = createDaemon({ settings: settings.val, logger: options.logger });
  const ports = await daemon.start();
  await daemon.waitForBundle();

  const stop = async () => {
    await daemon.stop();
    for (const server of servers) server.destroy();
    await Promise.all(servers.map((server) => server.close()));
  };
  return { port: ports.callers, stop };
};
