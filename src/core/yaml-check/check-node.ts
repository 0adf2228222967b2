import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';

import type {Problem, Schema, SourceNode} from './types.js';

/**
 * Checks a node against a schema. Returns its typed value, or all problems at
 * once.
 *
 * @example
 * checkNode({node, schema}).match(start, showProblems);
 */
export function checkNode<T>(options: {
  node: SourceNode;
  schema: Schema<T>;
}): Result<T, Problem[]> {
  const problems: Problem[] = [];
  const value = options.schema.check(options.node, {path: [], problems});
  return value === undefined ? err(problems) : ok(value);
}
