/** Groups items by key; keys and items keep their order of first appearance. */
export const groupBy = <T>(
  items: readonly T[],
  toKey: (item: T) => string,
): ReadonlyMap<string, readonly T[]> => {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const key = toKey(item);
    const group = groups.get(key);
    if (group) group.push(item);
    else groups.set(key, [item]);
  }
  return groups;
};
