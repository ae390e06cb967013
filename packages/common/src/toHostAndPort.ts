/** Parses the addresses of settings, arguments and server entries. */

/** An IP address and a port. */
export type HostAndPort = Readonly<{ host: string; port: number }>;

/** Splits IP:PORT or [IP]:PORT; expects an address that a schema has validated. */
export const toHostAndPort = (address: string): HostAndPort => {
  const colon = address.lastIndexOf(":");
  const host = address.slice(0, colon).replace(/^\[|\]$/g, "");
  return { host, port: Number(address.slice(colon + 1)) };
};
