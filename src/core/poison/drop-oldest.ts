/** Bounds what is remembered. */

/**
 * Drops the oldest entry where there are more than `most`.
 *
 * @example
 * dropOldest({entries: culprits, most: 10_000});
 */
export function dropOldest<K>(options: {
  entries: Map<K, unknown> | Set<K>;
  maxSize: number;
}): void {
  const {entries, maxSize: most} = options;
  if (entries.size <= most) return;
  const [oldest] = entries.keys();
  entries.delete(oldest!);
}
