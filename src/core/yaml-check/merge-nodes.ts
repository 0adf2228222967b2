import type {MapEntry, MapNode, SourceNode, SourcePosition} from './types.js';
import {NodeKind} from './types.js';

/**
 * Merges an overlay into a base: maps are merged recursively, scalars and lists
 * are replaced, and null removes a key. An empty overlay changes nothing. Every
 * part of the result keeps its position in its own file.
 *
 * @example
 * mergeNodes({base, overlay});
 */
export function mergeNodes(options: {
  base: SourceNode;
  overlay: SourceNode;
}): SourceNode {
  const {base, overlay} = options;
  return isNull(overlay) ? base : mergeAt(base, overlay);
}

function mergeAt(
  base: SourceNode | undefined,
  overlay: SourceNode,
): SourceNode {
  if (overlay.kind !== NodeKind.MAP) {
    return overlay;
  }
  return base?.kind === NodeKind.MAP
    ? mergeMaps(base, overlay)
    : mergeMaps({...overlay, entries: new Map()}, overlay);
}

function mergeMaps(base: MapNode, overlay: MapNode): MapNode {
  const entries = new Map<string, MapEntry>(base.entries);
  const removed = new Map<string, SourcePosition>([
    ...base.removed,
    ...overlay.removed,
  ]);
  for (const [key, entry] of overlay.entries) {
    if (isNull(entry.node)) {
      entries.delete(key);
      removed.set(key, entry.keyPosition);
      continue;
    }
    const node = mergeAt(entries.get(key)?.node, entry.node);
    entries.set(key, {keyPosition: entry.keyPosition, node});
    removed.delete(key);
  }
  return {kind: NodeKind.MAP, position: overlay.position, entries, removed};
}

function isNull(node: SourceNode): boolean {
  return node.kind === NodeKind.SCALAR && node.value === null;
}
