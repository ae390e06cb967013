/** Keeps the last result of a pure function of a list. */

const isSame = (a: readonly unknown[], b: readonly unknown[]) =>
  a.length === b.length && a.every((item, i) => item === b[i]);

/**
 * Wraps a pure function: for the same items and other arguments as in the call before, its result is returned without
 * computing it again.
 */
export const withLastResult = <Item, Rest extends readonly unknown[], Computed>(
  compute: (items: readonly Item[], ...rest: Rest) => Computed,
): ((items: readonly Item[], ...rest: Rest) => Computed) => {
  let last:
    Readonly<{ items: readonly Item[]; rest: Rest; result: Computed }> | undefined;
  return (items, ...rest) => {
    if (!last || !isSame(last.items, items) || !isSame(last.rest, rest))
      last = { items: [...items], rest, result: compute(items, ...rest) };
    return last.result;
  };
};
