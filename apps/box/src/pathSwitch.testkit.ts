/** Test helper: cuts the paths of one box to the servers, while everybody else reaches them. */
import { connect, createServer, type AddressInfo, type Socket } from "node:net";
import { toHostAndPort, type Dialer } from "@stairgauge/common";
import { closers } from "./box.testkit.js";

/**
 * What connections to servers do during a cut. `hang`: open ones stay open and silent, new ones get no
 * answer. `reset`: open ones are reset, new ones refused. `refuse_new`: open ones live on, new ones are
 * refused.
 */
export type CutForm = "hang" | "reset" | "refuse_new";

export type PathSwitch = Readonly<{
  /** For the box whose paths are cut. */
  dial: Dialer;
  /** Cuts the paths to the servers at these addresses; all by default. */
  cut: (form: CutForm, addresses?: readonly string[]) => void;
  heal: () => void;
}>;

const LOOPBACK = "127.0.0.1";

/** Nothing listens on this port of the loopback address. */
const CLOSED_PORT = 1;

const dialNobody: Dialer = ({ port }) =>
  // The name is never resolved, so the connection neither comes up nor fails.
  connect({ host: "unreachable.example", port, lookup: () => undefined });

type Pair = Readonly<{ inner: Socket; outer: Socket; address: string }>;

/** Starts one forwarder for each server's address; the box connects through them. */
export const startPathSwitch = async (
  addresses: readonly string[],
): Promise<PathSwitch> => {
  const ports = new Map<string, number>();
  const pairs = new Set<Pair>();
  const cuts = new Map<string, CutForm>();

  const forward = (from: Socket, to: Socket, pair: Pair) => {
    /** Neither end is told of the other's close during such a cut. */
    const isSilent = () => cuts.get(pair.address) === "hang";
    from.on("data", (chunk) => void to.write(chunk));
    from.on("end", () => {
      if (!isSilent()) to.end();
    });
    from.on("error", () => {
      if (!isSilent()) to.resetAndDestroy();
    });
    from.on("close", () => {
      if (isSilent()) return;
      pairs.delete(pair);
      to.destroy();
    });
  };
  const startForwarder = async (address: string) => {
    const server = createServer({ allowHalfOpen: true }, (inner) => {
      const outer = connect({ ...toHostAndPort(address), allowHalfOpen: true });
      const pair = { inner, outer, address };
      pairs.add(pair);
      forward(inner, outer, pair);
      forward(outer, inner, pair);
    });
    await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
    ports.set(address, (server.address() as AddressInfo).port);
    closers.push(() => {
      server.close();
      for (const { inner, outer } of pairs)
        for (const one of [inner, outer]) one.destroy();
    });
  };
  await Promise.all(addresses.map(startForwarder));

  const applyToOpen = (form: CutForm, { inner, outer }: Pair) => {
    for (const socket of [inner, outer]) {
      if (form === "hang") socket.pause();
      if (form === "reset") socket.resetAndDestroy();
    }
  };

  return {
    dial: ({ host, port }) => {
      const address = `${host}:${port}`;
      const form = cuts.get(address);
      if (form === "hang") return dialNobody({ host, port });
      const target = form === undefined ? (ports.get(address) ?? port) : CLOSED_PORT;
      return connect({ host, port: target, noDelay: true, allowHalfOpen: true });
    },
    cut: (form, cutAddresses = addresses) => {
      for (const address of cutAddresses) cuts.set(address, form);
      for (const pair of [...pairs])
        if (cutAddresses.includes(pair.address)) applyToOpen(form, pair);
    },
    heal: () => {
      cuts.clear();
      for (const { inner, outer } of pairs)
        for (const socket of [inner, outer]) socket.resume();
    },
  };
};
