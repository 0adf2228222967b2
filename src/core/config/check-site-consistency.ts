import type {PathSegment, Problem, SourceNode} from '../yaml-check/index.js';
import {createProblem, describeNode, NodeKind} from '../yaml-check/index.js';

/** Fields of a service that must be the same at every site. */
const SERVICE_FIELDS = ['kind', 'idempotent'] as const;

/**
 * Checks that an overlay does not change values that must be the same at all
 * sites: the name of the deployment, and the kind and idempotence of services.
 * A call may be retried at another site, which must not treat a call that is
 * not idempotent as one that can be retried freely.
 */
export function checkSiteConsistency(options: {
  base: SourceNode;
  merged: SourceNode;
}): Problem[] {
  const {base, merged} = options;
  const services = findNode(base, ['services']);
  const names =
    services?.kind === NodeKind.MAP ? [...services.entries.keys()] : [];
  const paths: PathSegment[][] = [
    ['deployment'],
    ...names.flatMap((name) =>
      SERVICE_FIELDS.map((field) => ['services', name, field]),
    ),
  ];
  return paths.flatMap((path) => checkUnchanged(base, merged, path));
}

function checkUnchanged(
  base: SourceNode,
  merged: SourceNode,
  path: readonly PathSegment[],
): Problem[] {
  const before = findNode(base, path);
  const after = findNode(merged, path);
  if (before === undefined || after === undefined) {
    return [];
  }
  const expected = `${describeNode(before)}, as at every other site`;
  const found = describeNode(after);
  return found === describeNode(before)
    ? []
    : [createProblem({position: after.position, path, expected, found})];
}

function findNode(
  node: SourceNode | undefined,
  path: readonly PathSegment[],
): SourceNode | undefined {
  const [head, ...rest] = path;
  if (head === undefined || node === undefined) {
    return node;
  }
  return node.kind === NodeKind.MAP
    ? findNode(node.entries.get(String(head))?.node, rest)
    : undefined;
}
