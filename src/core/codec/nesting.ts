/** Bounds the nesting of external input. */

/** Most levels of arrays and objects within each other. */
const MAX_NESTING = 64;

/**
 * Returns whether a value is nested so deeply that functions which follow it
 * recursively, such as encoders, may exhaust the stack.
 *
 * @example
 * isNestedTooDeeply(JSON.parse(text));
 */
export function isNestedTooDeeply(value: unknown): boolean {
  let level: unknown[] = [value];
  for (let depth = 0; depth <= MAX_NESTING; depth++) {
    level = level.filter(isObject).flatMap(childrenOf);
    if (level.length === 0) return false;
  }
  return true;
}

function childrenOf(item: object): unknown[] {
  return Object.values(item);
}

function isObject(value: unknown): value is object {
  return typeof value === 'object' && value !== null;
}
