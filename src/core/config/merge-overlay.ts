import {createNode, mergeNodes, toPlainValue} from '../yaml-check/index.js';

/** Plain values have no position. */
const NO_POSITION = {file: '', line: 0, column: 0};

/**
 * Lays an overlay over a base: maps merge deep, scalars and lists replace, and
 * null removes a key. An empty overlay changes nothing.
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
