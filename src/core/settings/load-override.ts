import type {Result} from 'neverthrow';
import {err} from 'neverthrow';

import type {Problem, SourceNode} from '../yaml-check/index.js';
import {createMapNode, createProblem, loadYaml} from '../yaml-check/index.js';
import {OVERRIDE_FILE} from './consts.js';

/** Format of an override: keys joined by dots, `=` and a YAML value. */
const OVERRIDE = /^(?<path>[^=.]+(?:\.[^=.]+)*)=(?<value>.*)$/s;

/**
 * Parses one `path=value` override into nodes that can be merged.
 *
 * @example
 * loadOverride({text: 'peers.port=7001', index: 0});
 */
export function loadOverride(options: {
  text: string;
  /** Index of the override, from 0. */
  index: number;
}): Result<SourceNode, Problem[]> {
  // In problems of overrides, the line is the number of the override.
  const position = {file: OVERRIDE_FILE, line: options.index + 1, column: 1};
  const groups = OVERRIDE.exec(options.text)?.groups;
  if (groups === undefined) {
    const found = JSON.stringify(options.text);
    const expected = 'path=value';
    return err([createProblem({position, path: [], expected, found})]);
  }
  const {path = '', value = ''} = groups;
  return loadYaml({file: OVERRIDE_FILE, text: value})
    .map((node) => nestAtPath(path.split('.'), {...node, position}))
    .mapErr((problems) =>
      problems.map((problem) => ({...problem, ...position, path})),
    );
}

function nestAtPath(path: readonly string[], leaf: SourceNode): SourceNode {
  const {position} = leaf;
  return path.reduceRight<SourceNode>(
    (node, key) =>
      createMapNode({
        position,
        entries: [[key, {keyPosition: position, node}]],
      }),
    leaf,
  );
}
