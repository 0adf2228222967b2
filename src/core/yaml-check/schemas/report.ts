import {createProblem, describeNode} from '../format.js';
import {findPosition} from '../nodes.js';
import type {CheckContext, RuleContext, SourceNode} from '../types.js';
import {NodeKind} from '../types.js';

/** Reports that a node does not match its schema. */
export function reportMismatch(
  node: SourceNode,
  ctx: CheckContext,
  expected: string,
): undefined {
  const {path} = ctx;
  const found = describeNode(node);
  const {position} = node;
  ctx.problems.push(createProblem({position, path, expected, found}));
}

/** Returns the context in which the rules of a node report problems. */
export function createRuleContext(
  node: SourceNode,
  ctx: CheckContext,
): RuleContext {
  return {
    isPresent: (key) => node.kind === NodeKind.MAP && node.entries.has(key),
    report: ({path, expected, found}) => {
      const position = findPosition(node, path);
      const fullPath = [...ctx.path, ...path];
      ctx.problems.push(
        createProblem({position, path: fullPath, expected, found}),
      );
    },
  };
}
