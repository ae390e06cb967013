/** Indexes of an adopted bundle, built once on adoption. */
import type { ActiveBundle } from "./adoptHead.js";
import { buildKeyIndex, type KeyIndex } from "./keys.js";
import type {
  BackendServer,
  EngineServer,
  Model,
  Service,
  ServiceServer,
  Tier,
  Workspace,
} from "./types.js";

/** An adopted bundle with its indexes. Maps are by name unless stated otherwise. */
export type BundleIndex = Readonly<{
  active: ActiveBundle;
  keys: KeyIndex<Workspace>;
  workspaces: ReadonlyMap<string, Workspace>;
  tiers: ReadonlyMap<string, Tier>;
  models: ReadonlyMap<string, Model>;
  /** The model that each adapter belongs to, by the adapter's name. */
  adapterModels: ReadonlyMap<string, Model>;
  services: ReadonlyMap<string, Service>;
  servers: ReadonlyMap<string, BackendServer>;
  /** Engines that serve each model, by the model's name. */
  enginesByModel: ReadonlyMap<string, readonly EngineServer[]>;
  /** Servers of each plain service, by the service's name. */
  serversByService: ReadonlyMap<string, readonly ServiceServer[]>;
}>;

const groupByServed = <S extends BackendServer>(
  servers: readonly S[],
): ReadonlyMap<string, readonly S[]> => {
  const groups = new Map<string, S[]>();
  for (const server of servers) {
    for (const served of server.serves) {
      const group = groups.get(served) ?? [];
      group.push(server);
      groups.set(served, group);
    }
  }
  return groups;
};

const indexByName = <T extends Readonly<{ name: string }>>(
  items: readonly T[],
): ReadonlyMap<string, T> => new Map(items.map((item) => [item.name, item]));

/** Builds the indexes of an adopted bundle. */
export const indexBundle = (active: ActiveBundle): BundleIndex => {
  const { bundle } = active;
  const owners = bundle.workspaces.map((workspace) => ({
    keyHashes: workspace.keyHashes,
    owner: workspace,
  }));
  const adapters = bundle.models.flatMap((model) =>
    model.adapters.map((adapter) => [adapter, model] as const),
  );
  return {
    active,
    keys: buildKeyIndex(owners),
    workspaces: indexByName(bundle.workspaces),
    tiers: indexByName(bundle.tiers),
    models: indexByName(bundle.models),
    adapterModels: new Map(adapters),
    services: indexByName(bundle.services),
    servers: indexByName(bundle.backendServers),
    enginesByModel: groupByServed(
      bundle.backendServers.filter((one) => one.kind === "engine"),
    ),
    serversByService: groupByServed(
      bundle.backendServers.filter((one) => one.kind === "service"),
    ),
  };
};
