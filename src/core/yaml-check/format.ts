import type {
  PathSegment,
  Problem,
  SourceNode,
  SourcePosition,
} from './types.js';
import {NodeKind} from './types.js';

/** Maximum length of a scalar quoted in a problem, in characters. */
const QUOTE_LENGTH = 60;

/**
 * Formats a path for a problem.
 *
 * @example
 * formatPath(['services', 'drafts', 'models', 0]);
 * // services.drafts.models.0
 */
export function formatPath(path: readonly PathSegment[]): string {
  return path.join('.');
}

/**
 * Describes a node as the `found` part of a problem.
 *
 * @example
 * describeNode({kind: NodeKind.LIST, position, items: []}); // a list
 */
export function describeNode(node: SourceNode): string {
  switch (node.kind) {
    case NodeKind.MAP:
      return 'a map';
    case NodeKind.LIST:
      return 'a list';
    case NodeKind.SCALAR:
      return describeScalar(node.value);
  }
}

function describeScalar(value: string | number | boolean | null): string {
  if (typeof value !== 'string') {
    return String(value);
  }
  const isTooLong = value.length > QUOTE_LENGTH;
  const shown = isTooLong ? `${value.slice(0, QUOTE_LENGTH)}…` : value;
  return JSON.stringify(shown);
}

/**
 * Creates a problem at a position and path.
 *
 * @example
 * createProblem({position, path: ['a'], expected: 'a map', found: 'a list'});
 */
export function createProblem(options: {
  position: SourcePosition;
  path: readonly PathSegment[];
  expected: string;
  found: string;
}): Problem {
  const {position, path, expected, found} = options;
  const {file, line, column} = position;
  return {file, line, column, path: formatPath(path), expected, found};
}

/**
 * Formats a problem as one line.
 *
 * @example
 * formatProblem(problem);
 * // base.yaml:4:11 limits.maxTokens: expected an integer, found "many"
 */
export function formatProblem(problem: Problem): string {
  const {file, line, column, path, expected, found} = problem;
  const where = `${file}:${line}:${column}`;
  const at = path === '' ? where : `${where} ${path}`;
  return `${at}: expected ${expected}, found ${found}`;
}

/**
 * Removes duplicate problems.
 *
 * @example
 * uniqueProblems([problem, problem]); // [problem]
 */
export function uniqueProblems(problems: readonly Problem[]): Problem[] {
  const byText = new Map(
    problems.map((problem) => [formatProblem(problem), problem]),
  );
  return [...byText.values()];
}
