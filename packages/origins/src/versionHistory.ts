/**
 * Knows which software versions of each service may have begun a stream that can still be taken up. Where it is only
 * one, a stream goes on without its origin. Pure: the time is passed in.
 */
import type { Ms, ServiceName } from "@stairgauge/common";
import type { ServerEntry, SoftwareVersion } from "@stairgauge/directory";

/** Versions of one service; undefined stands for servers that state none. */
export type VersionSet = ReadonlySet<SoftwareVersion | undefined>;

/** The versions that one box has on record. */
export type VersionHistory = Readonly<{
  /** Records the servers that are listed now, including those that left recently. */
  observe: (entries: readonly ServerEntry[], now: Ms) => void;
  /** Records versions that served at some time before this box started. */
  addEarlier: (service: ServiceName, versions: VersionSet, now: Ms) => void;
  /** Lists the versions that may have begun a stream that can still be taken up. */
  list: (service: ServiceName, now: Ms) => VersionSet;
  listServices: () => readonly ServiceName[];
}>;

/**
 * Creates an empty history. A version counts for some time after its last server was listed: as long as a stream that
 * it began may be taken up.
 */
export const createVersionHistory = (getMemory: () => Ms): VersionHistory => {
  const seenAt = new Map<ServiceName, Map<SoftwareVersion | undefined, Ms>>();

  const add = (
    service: ServiceName,
    version: SoftwareVersion | undefined,
    now: Ms,
  ): void => {
    const versions = seenAt.get(service) ?? new Map<SoftwareVersion | undefined, Ms>();
    seenAt.set(service, versions.set(version, now));
  };
  const dropOutdated = (now: Ms) => {
    const memory = getMemory();
    for (const versions of seenAt.values())
      for (const [version, at] of versions)
        if (now - at >= memory) versions.delete(version);
  };

  return {
    observe: (entries, now) => {
      for (const { service, softwareVersion } of entries)
        add(service, softwareVersion, now);
      dropOutdated(now);
    },
    addEarlier: (service, versions, now) => {
      for (const version of versions) add(service, version, now);
    },
    list: (service, now) => {
      dropOutdated(now);
      return new Set(seenAt.get(service)?.keys() ?? []);
    },
    listServices: () => [...seenAt.keys()],
  };
};
