/** A small stand-in site that uses the protocol of @stairgauge/platform: a store, engines, plain servers, and the operator's configuration. */
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

/** Number of servers of the site. */
export type UsersSiteSize = Readonly<{ engines: number; services: number }>;

/** A running site, with what its operator and servers can change. */
export type UsersSite = Readonly<{
  store: UsersStore;
  engines: readonly UsersEngine[];
  services: readonly UsersService[];
  /** Writes the default configuration with these changes and the next version; `version` among the changes overrides it. */
  putConfiguration: (changes?: Readonly<Record<string, unknown>>) => void;
  /** Writes a configuration in which each server accepts this many connections. */
  limitConnections: (limit: number) => void;
  /** Writes a configuration in which each request may be sent to this many servers. */
  setMaxAttempts: (count: number) => void;
  /** Writes a configuration in which all routes, or the workspace, may use only these regions. */
  limitRegions: (who: "routes" | "workspace", regions: readonly string[]) => void;
  /** Writes a configuration with these workspaces and their tiers; the key of each is its name. */
  putWorkspaces: (tiers: Readonly<Record<string, number>>) => void;
  /** Writes the entry of an engine that was started elsewhere. `born` is its start time in Unix milliseconds; without it the entry has none. */
  putEngine: (
    id: string,
    address: string,
    state?: "ready" | "leaving",
    born?: number,
  ) => void;
  /** Writes the entry of an engine, with this version of its software from now on. */
  putEngineVersion: (
    engine: Readonly<{ id: string; address: string }>,
    version: string,
  ) => void;
  /** Removes a server's entry. */
  dropEntry: (id: string) => void;
  /** Writes any value as a server's entry, also an invalid one. */
  putRawEntry: (id: string, entry: unknown) => void;
  /** Writes the entry of a plain server that was started elsewhere; `born` as for engines. */
  putService: (id: string, address: string, born?: number) => void;
  /** Writes the entry of a plain server that was started elsewhere and works on this many requests at once. */
  putServiceOfSlots: (id: string, address: string, slots: number) => void;
  /** Writes the entry of a server of a second plain service, and a configuration with a route to it. */
  putOtherService: (id: string, address: string) => void;
  /** Writes a server's entry with another data hall. */
  putHall: (server: UsersEngine | UsersService, hall: string) => void;
  /** Closes a data hall to new requests. */
  closeHall: (hall: string) => void;
  /** Opens a closed data hall again. */
  openHall: (hall: string) => void;
  /** Marks the server as leaving in its entry, and an engine in its reports as well. */
  announceLeaving: (server: UsersEngine | UsersService) => void;
  close: () => void;
}>;

/** Host name that clients use. */
export const SITE_HOST = "site.example";

/** API key of the site's only workspace. */
export const SITE_KEY = "site-key";

/** Name of the site's only workspace. */
export const SITE_WORKSPACE = "site-workspace";

const ENGINE_SERVICE = "writers";
const PLAIN_SERVICE = "pages";
const OTHER_SERVICE = "others";

/** Data hall of all servers until `putHall` changes it. */
export const SITE_HALL = "hall-a";

/** Version of the servers' software until a test sets another one. */
const FIRST_VERSION = "v1";

/** With these a generation of some hundred events takes less than a second. */
const ENGINE_TRAITS = {
  memoryTokens: 34_000,
  stepMs: 2,
  promptTokensPerStep: 400,
  copyMs: 15,
  reportLagMs: 20,
};

const createRoute = (name: string, changes: Readonly<Record<string, unknown>>) => ({
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

/** Routes that differ in whether their requests may be repeated, streamed, resumed or sent without a key. */
const ROUTES = [
  createRoute("once", { routeType: "non_idempotent" }),
  createRoute("again", { routeType: "idempotent", maxAttempts: 2 }),
  createRoute("open", { routeType: "idempotent", authExempt: true }),
  createRoute("short", { routeType: "non_idempotent", timeoutMs: 150 }),
  createRoute("draft", {
    routeType: "streaming",
    service: ENGINE_SERVICE,
    timeoutMs: 30_000,
    gap_aim_ms: 180,
  }),
  createRoute("verdict", {
    routeType: "streaming",
    service: ENGINE_SERVICE,
    timeoutMs: 30_000,
    streamResume: true,
    maxAttempts: 2,
    gap_aim_ms: 180,
  }),
];

const OTHER_ROUTE = createRoute("other", {
  routeType: "idempotent",
  service: OTHER_SERVICE,
});

const PLAIN_SPEC = { name: PLAIN_SERVICE, healthPath: HEALTH_PATH, maxConnections: 100 };

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
    PLAIN_SPEC,
  ],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 65_536,
    headerTimeoutMs: 1_000,
    idleTimeoutMs: 15_000,
  },
  tenants: [{ name: SITE_WORKSPACE, apiKeys: [SITE_KEY], priority: 1 }],
};

/** Starts a site on loopback; the store has no configuration until one is written. */
export const startUsersSite = async (size: UsersSiteSize): Promise<UsersSite> => {
  const store = await startUsersStore();
  const engineGroup = createUsersEngines(ENGINE_TRAITS);
  const engines = await Promise.all(
    Array.from({ length: size.engines }, (_, i) => engineGroup.start(`engine-${i}`)),
  );
  const services = await Promise.all(
    Array.from({ length: size.services }, (_, i) => startUsersService(`page-${i}`)),
  );
  let version = 0;
  /** Software versions of the servers that have another than the first one. */
  const versions = new Map<string, string>();

  type EntryArguments = readonly [
    server: Readonly<{ id: string; address: string }>,
    state: string,
    isEngine?: boolean,
    details?: Readonly<{ hall?: string; born?: number | undefined; slots?: number }>,
  ];
  const makeEntry = (
    ...[
      server,
      state,
      isEngine = engines.some(({ id }) => id === server.id),
      details = {},
    ]: EntryArguments
  ) => ({
    service: isEngine ? ENGINE_SERVICE : PLAIN_SERVICE,
    address: server.address,
    zone: details.hall ?? SITE_HALL,
    version: versions.get(server.id) ?? FIRST_VERSION,
    slots: details.slots ?? (isEngine ? 48 : 6),
    state,
    warmupLeftMs: 0,
    sequence: 1,
    ...(details.born !== undefined && { born: details.born }),
  });
  const putEntry = (...entry: EntryArguments) =>
    store.put(TABLE.servers, entry[0].id, makeEntry(...entry));
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
    setMaxAttempts: (maxAttempts) =>
      putConfiguration({ routes: ROUTES.map((route) => ({ ...route, maxAttempts })) }),
    limitRegions: (who, allowedRegions) =>
      putConfiguration(
        who === "routes"
          ? { routes: ROUTES.map((route) => ({ ...route, allowedRegions })) }
          : {
              tenants: CONFIGURATION.tenants.map((one) => ({ ...one, allowedRegions })),
            },
      ),
    putWorkspaces: (tiers) =>
      putConfiguration({
        tenants: Object.entries(tiers).map(([name, priority]) => ({
          name,
          apiKeys: [name],
          priority,
        })),
      }),
    putEngine: (id, address, state, born) =>
      putEntry({ id, address }, state === "leaving" ? STATE_LEAVING : "ready", true, {
        born,
      }),
    putEngineVersion: (engine, version) => {
      versions.set(engine.id, version);
      putEntry(engine, "ready", true);
    },
    dropEntry: (id) => store.drop(TABLE.servers, id),
    putRawEntry: (id, entry) => store.put(TABLE.servers, id, entry),
    putService: (id, address, born) =>
      putEntry({ id, address }, "ready", false, { born }),
    putServiceOfSlots: (id, address, slots) =>
      putEntry({ id, address }, "ready", false, { slots }),
    putOtherService: (id, address) => {
      store.put(TABLE.servers, id, {
        ...makeEntry({ id, address }, "ready", false),
        service: OTHER_SERVICE,
      });
      putConfiguration({
        routes: [...ROUTES, OTHER_ROUTE],
        services: [...CONFIGURATION.services, { ...PLAIN_SPEC, name: OTHER_SERVICE }],
      });
    },
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
