import {isDeepStrictEqual} from 'node:util';

import type {ConfigDocument} from '../../core/config/index.js';

/** Scope of changes in the base. */
const BASE_SCOPE = 'base';

/** One value that two documents differ in. */
export interface ConfigChange {
  /** The site of the overlay, or `base`. */
  readonly scope: string;
  /** Keys joined by dots; empty for the whole file. */
  readonly path: string;
  /** Undefined where it was absent. */
  readonly before: unknown;
  /** Undefined where it is absent. */
  readonly after: unknown;
}

/**
 * Lists the values that differ, by site and path.
 *
 * @example
 * diffDocuments({before: accepted, after: local}).map(formatChange);
 */
export function diffDocuments(options: {
  before: ConfigDocument | undefined;
  after: ConfigDocument | undefined;
}): ConfigChange[] {
  const before = resolveScopes(options.before);
  const after = resolveScopes(options.after);
  const scopes = new Set([...before.keys(), ...after.keys()]);
  return [...scopes].flatMap((scope) =>
    diffValues(scope, [], before.get(scope), after.get(scope)),
  );
}

function resolveScopes(
  document: ConfigDocument | undefined,
): Map<string, unknown> {
  if (document === undefined) {
    return new Map();
  }
  const overlays = document.overlays.map(
    ({site, content}) => [`site ${site}`, content] as const,
  );
  return new Map([[BASE_SCOPE, document.base], ...overlays]);
}

function diffValues(
  scope: string,
  path: readonly string[],
  before: unknown,
  after: unknown,
): ConfigChange[] {
  if (isDeepStrictEqual(before, after)) {
    return [];
  }
  if (!isMap(before) || !isMap(after)) {
    return [{scope, path: path.join('.'), before, after}];
  }
  const keys = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...keys].flatMap((key) =>
    diffValues(scope, [...path, key], before[key], after[key]),
  );
}

function isMap(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/**
 * Writes a change on one line.
 *
 * @example
 * formatChange(change); // base limits.maxTokens: 4096 -> 8192
 */
export function formatChange(change: ConfigChange): string {
  const {scope, path, before, after} = change;
  const where = path === '' ? scope : `${scope} ${path}`;
  return `${where}: ${formatValue(before)} -> ${formatValue(after)}`;
}

function formatValue(value: unknown): string {
  return value === undefined ? '(absent)' : JSON.stringify(value);
}
