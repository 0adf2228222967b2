/** Converts plain values to nodes and back, and finds positions in nodes. */
import type {
  MapEntry,
  MapNode,
  PathSegment,
  SourceNode,
  SourcePosition,
} from './types.js';
import {NodeKind} from './types.js';

/**
 * Creates a map node without removed keys.
 *
 * @example
 * createMapNode({position, entries: [['a', {keyPosition, node}]]});
 */
export function createMapNode(options: {
  position: SourcePosition;
  entries: Iterable<readonly [string, MapEntry]>;
}): MapNode {
  return {
    kind: NodeKind.MAP,
    position: options.position,
    entries: new Map(options.entries),
    removed: new Map(),
  };
}

/**
 * Converts a plain JSON value to nodes that all have the same position.
 *
 * @example
 * createNode({value: {a: 1}, position: {file: 'base', line: 0, column: 0}});
 */
export function createNode(options: {
  value: unknown;
  position: SourcePosition;
}): SourceNode {
  const {value, position} = options;
  if (Array.isArray(value)) {
    const items = value.map((item) => createNode({value: item, position}));
    return {kind: NodeKind.LIST, position, items};
  }
  if (typeof value === 'object' && value !== null) {
    const entries = Object.entries(value).map(
      ([key, item]: [string, unknown]) => {
        const node = createNode({value: item, position});
        return [key, {keyPosition: position, node}] as const;
      },
    );
    return createMapNode({position, entries});
  }
  return {kind: NodeKind.SCALAR, position, value: toScalar(value)};
}

function toScalar(value: unknown): string | number | boolean | null {
  switch (typeof value) {
    case 'string':
    case 'number':
    case 'boolean':
      return value;
    default:
      return null;
  }
}

/**
 * Returns the plain JSON value of a node.
 *
 * @example
 * loadYaml({file, text: 'a: 1'}).map(toPlainValue); // ok({a: 1})
 */
export function toPlainValue(node: SourceNode): unknown {
  switch (node.kind) {
    case NodeKind.SCALAR:
      return node.value;
    case NodeKind.LIST:
      return node.items.map(toPlainValue);
    case NodeKind.MAP:
      return Object.fromEntries(
        [...node.entries].map(([key, entry]) => [
          key,
          toPlainValue(entry.node),
        ]),
      );
  }
}

/**
 * Returns the position of the deepest part of `path` that exists.
 *
 * @example
 * const {line, column} = findPosition(node, ['services', 'drafts']);
 */
export function findPosition(
  node: SourceNode,
  path: readonly PathSegment[],
): SourcePosition {
  const [head, ...rest] = path;
  if (head === undefined || node.kind === NodeKind.SCALAR) {
    return node.position;
  }
  if (node.kind === NodeKind.LIST) {
    const item = node.items[Number(head)];
    return item === undefined ? node.position : findPosition(item, rest);
  }
  const entry = node.entries.get(String(head));
  if (entry === undefined) {
    return node.removed.get(String(head)) ?? node.position;
  }
  return rest.length === 0 ? entry.keyPosition : findPosition(entry.node, rest);
}
