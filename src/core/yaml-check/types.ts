/** Types of the YAML checker: nodes with positions, problems and schemas. */

/** Position of a value in a file. */
export interface SourcePosition {
  /** File name as shown to users. */
  readonly file: string;
  /** Line, from 1; 0 if the source has no lines. */
  readonly line: number;
  /** Column, from 1; 0 if the source has no lines. */
  readonly column: number;
}

/** A text with the file name to show in problems. */
export interface SourceText {
  readonly file: string;
  readonly text: string;
}

/** One problem in a file. */
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

/** A scalar value. */
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
  /** Keys removed by an overlay, with the positions in the overlay. */
  readonly removed: ReadonlyMap<string, SourcePosition>;
}

/** A value with its position in a source. */
export type SourceNode = ScalarNode | ListNode | MapNode;

/** A key of a map or an index of a list. */
export type PathSegment = string | number;

/** Path of the value being checked, and the list of problems found. */
export interface CheckContext {
  readonly path: readonly PathSegment[];
  readonly problems: Problem[];
}

/** Checks one node and converts it to a typed value. */
export interface Schema<T> {
  /** What the schema expects, as shown in problems. */
  readonly description: string;
  /** Returns the value, or undefined after reporting at least one problem. */
  check(node: SourceNode, ctx: CheckContext): T | undefined;
}

/**
 * Context in which a rule reports problems at paths below the checked value.
 */
export interface RuleContext {
  /** Whether the key is present in the file, even with an invalid value. */
  isPresent(key: string): boolean;
  report(options: {
    path: readonly PathSegment[];
    expected: string;
    found: string;
  }): void;
}
