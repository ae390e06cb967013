/** Collects the promises' rejections that nobody handles, for tests of loops that have to go on after a step that throws. */

/** Runs a call and returns what was rejected meanwhile; until then the process's own handlers receive nothing. */
export const collectRejections = async (
  run: () => Promise<unknown>,
): Promise<readonly unknown[]> => {
  const collected: unknown[] = [];
  const collect = (error: unknown) => void collected.push(error);
  const others = process.listeners("unhandledRejection");
  process.removeAllListeners("unhandledRejection");
  process.on("unhandledRejection", collect);
  try {
    await run();
    // Rejections are reported once the microtasks have run.
    await new Promise((resolve) => setImmediate(resolve));
  } finally {
    process.off("unhandledRejection", collect);
    for (const onRejection of others) process.on("unhandledRejection", onRejection);
  }
  return collected;
};
