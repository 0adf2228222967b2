import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {Node, Pair, YAMLMap} from 'yaml';
import {
  isAlias,
  isMap,
  isScalar,
  isSeq,
  LineCounter,
  parseDocument,
} from 'yaml';

import {createProblem} from './format.js';
import {createMapNode} from './nodes.js';
import type {
  MapEntry,
  PathSegment,
  Problem,
  SourceNode,
  SourcePosition,
  SourceText,
} from './types.js';
import {NodeKind} from './types.js';

/**
 * Parses YAML into nodes with file, line and column. Aliases are rejected, so
 * that a small file cannot expand into a large value.
 *
 * @example
 * loadYaml({file: 'base.yaml', text: 'deployment: demo'});
 */
export function loadYaml(source: SourceText): Result<SourceNode, Problem[]> {
  return new YamlLoader(source).load();
}

/** Converts a document of the YAML library into nodes. */
class YamlLoader {
  private readonly lines = new LineCounter();
  private readonly problems: Problem[] = [];

  constructor(private readonly source: SourceText) {}

  load(): Result<SourceNode, Problem[]> {
    const document = parseDocument(this.source.text, {
      lineCounter: this.lines,
      prettyErrors: false,
    });
    for (const parseError of document.errors) {
      this.report(parseError.pos[0], [], 'valid YAML', parseError.message);
    }
    const node = this.convert(document.contents, []);
    return this.problems.length === 0 ? ok(node) : err(this.problems);
  }

  private convert(node: unknown, path: readonly PathSegment[]): SourceNode {
    const position = this.positionOf(node);
    if (isMap(node)) {
      const entries = this.convertEntries(node, path);
      return createMapNode({position, entries});
    }
    if (isSeq(node)) {
      const items = node.items.map((item, i) =>
        this.convert(item, [...path, i]),
      );
      return {kind: NodeKind.LIST, position, items};
    }
    if (isAlias(node)) {
      this.reportAt(position, path, 'a value', `the alias *${node.source}`);
    }
    const value = isScalar(node) ? this.convertScalar(node.value) : null;
    return {kind: NodeKind.SCALAR, position, value};
  }

  private convertEntries(
    map: YAMLMap,
    path: readonly PathSegment[],
  ): [string, MapEntry][] {
    return map.items.flatMap((pair) => this.convertPair(pair, path));
  }

  private convertPair(
    pair: Pair,
    path: readonly PathSegment[],
  ): [string, MapEntry][] {
    const keyPosition = this.positionOf(pair.key);
    const key = isScalar(pair.key) ? pair.key.value : undefined;
    if (typeof key !== 'string') {
      this.reportAt(keyPosition, path, 'a string as key', 'another type');
      return [];
    }
    const node = this.convert(pair.value, [...path, key]);
    const positioned = isMissing(pair.value)
      ? {...node, position: keyPosition}
      : node;
    return [[key, {keyPosition, node: positioned}]];
  }

  private convertScalar(value: unknown): string | number | boolean | null {
    switch (typeof value) {
      case 'string':
      case 'number':
      case 'boolean':
        return value;
      default:
        return null;
    }
  }

  private positionOf(node: unknown): SourcePosition {
    const range = (node as Node | null)?.range;
    return this.positionAt(range?.[0] ?? 0);
  }

  private positionAt(offset: number): SourcePosition {
    const {line, col} = this.lines.linePos(offset);
    const {file} = this.source;
    return {file, line: Math.max(line, 1), column: Math.max(col, 1)};
  }

  private report(
    offset: number,
    path: readonly PathSegment[],
    expected: string,
    found: string,
  ): void {
    this.reportAt(this.positionAt(offset), path, expected, found);
  }

  private reportAt(
    position: SourcePosition,
    path: readonly PathSegment[],
    expected: string,
    found: string,
  ): void {
    this.problems.push(createProblem({position, path, expected, found}));
  }
}

function isMissing(node: unknown): boolean {
  return !isScalar(node) && !isMap(node) && !isSeq(node) && !isAlias(node);
}
