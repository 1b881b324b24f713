/** Adds an item to the group of a key, which is created if there is none. */
export function addToGroup<K, T>(groups: Map<K, T[]>, key: K, item: T): void {
  const group = groups.get(key);
  if (group === undefined) {
    groups.set(key, [item]);
  } else {
    group.push(item);
  }
}
