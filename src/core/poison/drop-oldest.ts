/** Bounds the size of maps and sets. */

/**
 * Drops the entry that was inserted first if there are more than `maxSize`.
 *
 * @example
 * dropOldest({entries: records, maxSize: 10_000});
 */
export function dropOldest<K>(options: {
  entries: Map<K, unknown> | Set<K>;
  maxSize: number;
}): void {
  const {entries, maxSize} = options;
  if (entries.size <= maxSize) return;
  const [oldest] = entries.keys();
  entries.delete(oldest!);
}
