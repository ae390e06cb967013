/** An example site in this process: stand-ins on loopback ports, and one box before them. */
import { createSystemClock } from "@stairgauge/common";
import type { HttpRoute, TlsIdentity } from "@stairgauge/http";
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
  type EngineHost,
  type EngineProfile,
  type PlatformModel,
} from "@stairgauge/standins";
import type { Logger } from "@stairgauge/telemetry";
import { createDaemon, type Daemon } from "./createDaemon.js";

const LOOPBACK = "127.0.0.1";
const DEFAULT_ENGINES = 3;
const SERVICE_SERVERS = 2;
const EXAMPLE_SECRET = "example-secret-example-secret-example";

/** What an embedded site is made of. */
export type EmbeddedSiteOptions = Readonly<{
  /** Callers' port on the loopback address, 0 for any. */
  port: number;
  logger: Logger;
  engines?: number;
  profile?: EngineProfile;
  /** Serves callers over HTTPS where given. */
  tls?: TlsIdentity;
  /** Settings of the box beyond the necessary ones. */
  settings?: Readonly<Record<string, unknown>>;
}>;

/** A stand-in engine of an embedded site. */
export type EmbeddedEngine = Readonly<{ host: EngineHost; address: string }>;

/** A running example site. */
export type EmbeddedSite = Readonly<{
  port: number;
  operatorsPort: number;
  daemon: Daemon;
  engines: readonly EmbeddedEngine[];
  /** Addresses of the plain service's servers. */
  services: readonly string[];
  platform: PlatformModel;
  stop: () => Promise<void>;
}>;

/** Starts the site and waits until its box has a bundle. */
export const createEmbeddedSite = async (
  options: EmbeddedSiteOptions,
): Promise<EmbeddedSite> => {
  const clock = createSystemClock();
  const servers: ReturnType<typeof createStandinServer>[] = [];

  const serve = async (routes: readonly HttpRoute[]): Promise<string> => {
    const server = createStandinServer(routes);
    servers.push(server);
    return `${LOOPBACK}:${await server.open(LOOPBACK, 0)}`;
  };
  const serveEngine = async (seed: number): Promise<EmbeddedEngine> => {
    const host = createEngineHost({
      profile: options.profile ?? EXAMPLE_ENGINE,
      models: ["redac-llm"],
      checksOrders: true,
      seed,
      clock,
    });
    return { host, address: await serve(createEngineRoutes(host, clock)) };
  };

  const engines = await Promise.all(
    Array.from({ length: options.engines ?? DEFAULT_ENGINES }, (_, i) => serveEngine(i)),
  );
  const services = await Promise.all(
    Array.from({ length: SERVICE_SERVERS }, (_, i) =>
      serve(createServiceRoutes(`annonces-${i + 1}`, clock)),
    ),
  );
  const model = createPlatformModel();
  const platform = await serve(createPlatformRoutes(model, clock));
  const bundle = buildExampleBundle({
    engines: engines.map((one) => one.address),
    services,
  });
  const trustedOperators = seedExampleBundle(model, bundle);

  const settings = parseSettings(
    JSON.stringify({
      box: "example",
      dataHall: "rennes-a",
      listen: `${LOOPBACK}:${options.port}`,
      operatorsListen: `${LOOPBACK}:0`,
      platform: { table: platform, objects: platform, boxes: platform },
      signOff: { approvalsNeeded: 1, trustedOperators },
      resumeKeys: [{ id: "example", secret: EXAMPLE_SECRET }],
      ...options.settings,
    }),
  );
  if (settings.err) throw new TypeError(JSON.stringify(settings.val));
  const daemon = createDaemon({
    settings: settings.val,
    logger: options.logger,
    tls: options.tls,
  });
  const ports = await daemon.start();
  await daemon.waitForBundle();

  const stop = async () => {
    await daemon.stop();
    for (const server of servers) server.destroy();
    await Promise.all(servers.map((server) => server.close()));
  };
  return {
    port: ports.callers,
    operatorsPort: ports.operators,
    daemon,
    engines,
    services,
    platform: model,
    stop,
  };
};
