/**
 * What binds a stream to certain servers once its client has received an event: servers of different software versions
 * write events that don't fit together, and no server checks which version began a stream. Pure.
 */
import type { ServiceName } from "@stairgauge/common";
import type { BackendServer, SoftwareVersion } from "@stairgauge/directory";

/** The servers that may continue a stream. Versions of different services are never the same. */
export type StreamBinding = Readonly<{
  service: ServiceName;
  /** Undefined if it is not certain which version began the stream; then no server may continue it. */
  softwareVersion: SoftwareVersion | undefined;
}>;

/** Whether the server may continue a stream with this binding; any server may begin one without. */
export const fitsBinding = (
  { entry }: BackendServer,
  binding: StreamBinding | undefined,
): boolean =>
  binding === undefined ||
  (binding.softwareVersion !== undefined &&
    entry.softwareVersion === binding.softwareVersion &&
    entry.service === binding.service);

/**
 * Returns the binding of a stream that a server began. `current` is the server's entry now: if it names another
 * version than the one that the server was chosen by, either may have begun the stream.
 */
export const deriveBinding = (
  { entry }: BackendServer,
  current: BackendServer | undefined,
): StreamBinding => {
  const { service, softwareVersion } = entry;
  const isCertain =
    current === undefined || current.entry.softwareVersion === softwareVersion;
  return { service, softwareVersion: isCertain ? softwareVersion : undefined };
};
