/** Shapes of the YAML checker: positioned nodes, problems and schemas. */

/** Where a value stands. */
export interface SourcePosition {
  /** File name as people know it. */
  readonly file: string;
  /** Line, from 1; 0 where the source has no lines. */
  readonly line: number;
  /** Column, from 1; 0 where the source has no lines. */
  readonly column: number;
}

/** A text with the name that problems show. */
export interface SourceText {
  readonly file: string;
  readonly text: string;
}

/** One fault of a file. */
export interface Problem extends SourcePosition {
  /** Keys joined by dots; empty for the whole file. */
  readonly path: string;
  readonly expected: string;
  readonly found: string;
}

/** Kinds of nodes. */
export enum NodeKind {
  SCALAR = 'scalar',
  LIST = 'list',
  MAP = 'map',
}

/** A single value. */
export interface ScalarNode {
  readonly kind: NodeKind.SCALAR;
  readonly position: SourcePosition;
  readonly value: string | number | boolean | null;
}

/** A list of values. */
export interface ListNode {
  readonly kind: NodeKind.LIST;
  readonly position: SourcePosition;
  readonly items: readonly SourceNode[];
}

/** One key of a map with its value. */
export interface MapEntry {
  readonly keyPosition: SourcePosition;
  readonly node: SourceNode;
}

/** A map with string keys. */
export interface MapNode {
  readonly kind: NodeKind.MAP;
  readonly position: SourcePosition;
  readonly entries: ReadonlyMap<string, MapEntry>;
  /** Keys that an overlay removed, and where it did so. */
  readonly removed: ReadonlyMap<string, SourcePosition>;
}

/** A value that knows where it came from. */
export type SourceNode = ScalarNode | ListNode | MapNode;

/** A key of a map or an index of a list. */
export type PathSegment = string | number;

/** Where a check stands, and where it reports. */
export interface CheckContext {
  readonly path: readonly PathSegment[];
  readonly problems: Problem[];
}

/** Checks one node and turns it into a typed value. */
export interface Schema<T> {
  /** What the schema expects, as a problem shows it. */
  readonly description: string;
  /** Returns undefined after it has reported at least one problem. */
  check(node: SourceNode, ctx: CheckContext): T | undefined;
}

/** Lets a rule report a contradiction at a path below the checked value. */
export interface RuleContext {
  /** Whether the key stands in the file, valid or not. */
  isPresent(key: string): boolean;
  report(options: {
    path: readonly PathSegment[];
    expected: string;
    found: string;
  }): void;
}
