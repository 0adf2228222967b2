import {createNode, mergeNodes, toPlainValue} from '../yaml-check/index.js';

/** Position of plain values, which do not come from a file. */
const NO_POSITION = {file: '', line: 0, column: 0};

/**
 * Merges an overlay into a base: maps are merged recursively, scalars and lists
 * are replaced, and null removes a key. An empty overlay changes nothing.
 *
 * @example
 * mergeOverlay({base: {a: 1, b: {c: 2}}, overlay: {a: null, b: {d: 3}}});
 * // {b: {c: 2, d: 3}}
 */
export function mergeOverlay(options: {
  base: unknown;
  overlay: unknown;
}): unknown {
  const base = createNode({value: options.base, position: NO_POSITION});
  const overlay = createNode({value: options.overlay, position: NO_POSITION});
  return toPlainValue(mergeNodes({base, overlay}));
}
