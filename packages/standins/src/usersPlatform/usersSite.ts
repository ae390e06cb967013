/** A small site on the users' platform: a store, engines, plain servers, and the operator's configuration. */
import {
  CLOSED_HALL_PREFIX,
  CONFIGURATION_KEY,
  STATE_LEAVING,
  TABLE,
} from "@stairgauge/platform";
import { HEALTH_PATH } from "./loopback.js";
import { createUsersEngines, type UsersEngine } from "./usersEngine.js";
import { startUsersService, type UsersService } from "./usersService.js";
import { startUsersStore, type UsersStore } from "./usersStore.js";

/** How large the site is. */
export type UsersSiteSize = Readonly<{ engines: number; services: number }>;

/** A running site; its operator's and servers' hands are here. */
export type UsersSite = Readonly<{
  store: UsersStore;
  engines: readonly UsersEngine[];
  services: readonly UsersService[];
  /** Puts a configuration with the changes given; the version rises by itself unless named. */
  putConfiguration: (changes?: Readonly<Record<string, unknown>>) => void;
  /** Puts a configuration in which each server takes this many connections. */
  limitConnections: (limit: number) => void;
  /** Puts a configuration in which each request may be sent to this many servers. */
  allowServers: (count: number) => void;
  /** Puts a configuration in which all routes, or the workspace, keep to the regions named. */
  keepToRegions: (who: "routes" | "workspace", regions: readonly string[]) => void;
  /** Adds an engine that runs elsewhere, or changes its entry. */
  putEngine: (
    id: string,
    address: string,
    state?: "ready" | "leaving",
    born?: number,
  ) => void;
  /** Puts anything where a server's entry stands. */
  putOddEntry: (id: string, entry: unknown) => void;
  /** Adds a plain server that runs elsewhere. */
  putService: (id: string, address: string, born?: number) => void;
  /** Puts a server into another data hall. */
  putHall: (server: UsersEngine | UsersService, hall: string) => void;
  /** Closes a data hall to new work, and opens it again. */
  closeHall: (hall: string) => void;
  openHall: (hall: string) => void;
  /** The server's entry says that it leaves. */
  announceLeaving: (server: UsersEngine | UsersService) => void;
  close: () => void;
}>;

/** The site's host name for clients. */
export const SITE_HOST = "site.example";

/** A key of the site's one workspace, and the workspace. */
export const SITE_KEY = "site-key";
export const SITE_WORKSPACE = "site-workspace";

const ENGINE_SERVICE = "writers";
const PLAIN_SERVICE = "pages";

/** The data hall of all servers until they are put into another one. */
export const SITE_HALL = "hall-a";

/** Traits that let a generation of some hundred events run within a second. */
const ENGINE_TRAITS = {
  memoryTokens: 34_000,
  stepMs: 2,
  promptTokensPerStep: 400,
  copyMs: 15,
  reportLagMs: 20,
};

const makeRoute = (name: string, changes: Readonly<Record<string, unknown>>) => ({
  name,
  host: SITE_HOST,
  pathPrefix: `/${name}/`,
  timeoutMs: 2_000,
  targetLatencyMs: 200,
  priority: 1,
  service: PLAIN_SERVICE,
  maxAttempts: 1,
  authExempt: false,
  ...changes,
});

/** Routes by what may be done with their requests. */
const ROUTES = [
  makeRoute("once", { routeType: "non_idempotent" }),
  makeRoute("again", { routeType: "idempotent", maxAttempts: 2 }),
  makeRoute("open", { routeType: "idempotent", authExempt: true }),
  makeRoute("short", { routeType: "non_idempotent", timeoutMs: 150 }),
  makeRoute("draft", {
    routeType: "streaming",
    service: ENGINE_SERVICE,
    timeoutMs: 30_000,
    gap_aim_ms: 180,
  }),
  makeRoute("verdict", {
    routeType: "streaming",
    service: ENGINE_SERVICE,
    timeoutMs: 30_000,
    streamResume: true,
    maxAttempts: 2,
    gap_aim_ms: 180,
  }),
];

const CONFIGURATION = {
  routes: ROUTES,
  services: [
    {
      name: ENGINE_SERVICE,
      healthPath: HEALTH_PATH,
      maxConnections: 300,
      engine: {
        slots: 48,
        kvCapacity: ENGINE_TRAITS.memoryTokens,
        kvTokenBytes: 131_072,
        linkMbps: 19_000,
        moves: true,
        backups: true,
        handleS: 5,
      },
    },
    { name: PLAIN_SERVICE, healthPath: HEALTH_PATH, maxConnections: 100 },
  ],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 65_536,
    headerTimeoutMs: 1_000,
    idleTimeoutMs: 15_000,
  },
  tenants: [{ name: SITE_WORKSPACE, apiKeys: [SITE_KEY], priority: 1 }],
};

/** Starts a site; nothing is configured until `putConfiguration`. */
export const startUsersSite = async (size: UsersSiteSize): Promise<UsersSite> => {
  const store = await startUsersStore();
  const makeEngines = createUsersEngines(ENGINE_TRAITS);
  const engines = await Promise.all(
    Array.from({ length: size.engines }, (_, i) => makeEngines.start(`engine-${i}`)),
  );
  const services = await Promise.all(
    Array.from({ length: size.services }, (_, i) => startUsersService(`page-${i}`)),
  );
  let version = 0;

  const putEntry = (
    server: Readonly<{ id: string; address: string }>,
    state: string,
    isEngine = engines.some(({ id }) => id === server.id),
    more: Readonly<{ hall?: string; born?: number | undefined }> = {},
  ) => {
    store.put(TABLE.servers, server.id, {
      service: isEngine ? ENGINE_SERVICE : PLAIN_SERVICE,
      address: server.address,
      zone: more.hall ?? SITE_HALL,
      version: "v1",
      slots: isEngine ? 48 : 6,
      state,
      warmupLeftMs: 0,
      sequence: 1,
      ...(more.born !== undefined && { born: more.born }),
    });
  };
  for (const server of [...engines, ...services]) putEntry(server, "ready");

  const putConfiguration: UsersSite["putConfiguration"] = (changes = {}) => {
    version += 1;
    const configuration = { ...CONFIGURATION, version, ...changes };
    store.put(TABLE.operator, CONFIGURATION_KEY, configuration);
  };

  return {
    store,
    engines,
    services,
    putConfiguration,
    limitConnections: (maxConnections) =>
      putConfiguration({
        services: CONFIGURATION.services.map((spec) => ({ ...spec, maxConnections })),
      }),
    allowServers: (maxAttempts) =>
      putConfiguration({ routes: ROUTES.map((route) => ({ ...route, maxAttempts })) }),
    keepToRegions: (who, allowedRegions) =>
      putConfiguration(
        who === "routes"
          ? { routes: ROUTES.map((route) => ({ ...route, allowedRegions })) }
          : {
              tenants: CONFIGURATION.tenants.map((one) => ({ ...one, allowedRegions })),
            },
      ),
    putEngine: (id, address, state, born) =>
      putEntry({ id, address }, state === "leaving" ? STATE_LEAVING : "ready", true, {
        born,
      }),
    putOddEntry: (id, entry) => store.put(TABLE.servers, id, entry),
    putService: (id, address, born) =>
      putEntry({ id, address }, "ready", false, { born }),
    putHall: (server, hall) => putEntry(server, "ready", undefined, { hall }),
    closeHall: (hall) => store.put(TABLE.operator, CLOSED_HALL_PREFIX + hall, {}),
    openHall: (hall) => store.drop(TABLE.operator, CLOSED_HALL_PREFIX + hall),
    announceLeaving: (server) => {
      if ("setLeaving" in server) server.setLeaving();
      putEntry(server, STATE_LEAVING);
    },
    close: () => {
      for (const server of [...engines, ...services]) server.close();
      store.close();
    },
  };
};
