/** Binds servers to their addresses. */
import type { ListenOptions, Server } from "node:net";

/**
 * Resolves to the port, which the system picks if the options have port 0; rejects if the server cannot listen. It may be
 * called again for a server that could not listen.
 */
export const listenOn = (
  server: Server,
  options: ListenOptions & Readonly<{ port: number }>,
): Promise<number> =>
  new Promise((resolve, reject) => {
    const handleError = (error: Error) => {
      server.off("listening", handleListening);
      reject(error);
    };
    const handleListening = () => {
      server.off("error", handleError);
      const bound = server.address();
      resolve(typeof bound === "object" && bound ? bound.port : options.port);
    };
    server.once("error", handleError);
    server.once("listening", handleListening);
    server.listen(options);
  });
