/** Runs a call for each item, also after one that throws. */

/** Calls `run` with each item in order, then throws the first error, if there was one. */
export const runEach = <Item>(items: Iterable<Item>, run: (item: Item) => void): void => {
  const errors: unknown[] = [];
  for (const item of items) {
    try {
      run(item);
    } catch (error) {
      errors.push(error);
    }
  }
  if (errors.length > 0) throw errors[0];
};
