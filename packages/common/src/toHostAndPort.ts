/** Splits addresses of settings, arguments and server entries. */

/** An IP number and a port. */
export type HostAndPort = Readonly<{ host: string; port: number }>;

/** Splits IP:PORT, or [IP]:PORT, which a schema has checked. */
export const toHostAndPort = (address: string): HostAndPort => {
  const at = address.lastIndexOf(":");
  const host = address.slice(0, at).replace(/^\[|\]$/g, "");
  return { host, port: Number(address.slice(at + 1)) };
};
