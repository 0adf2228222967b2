import {isDeepStrictEqual} from 'node:util';

import type {ConfigDocument} from '../../core/config/index.js';

/** Scope of changes in `base.yaml`. */
const BASE_SCOPE = 'base';

/** One value that differs between two documents. */
export interface ConfigChange {
  /** `base`, or `site NAME` for the overlay of a site. */
  readonly scope: string;
  /** Keys joined by dots; empty for the whole file. */
  readonly path: string;
  /** Undefined if the value was absent. */
  readonly before: unknown;
  /** Undefined if the value is absent. */
  readonly after: unknown;
}

/**
 * Lists the values that differ, by scope and path.
 *
 * @example
 * diffDocuments({before: accepted, after: local}).map(formatChange);
 */
export function diffDocuments(options: {
  before: ConfigDocument | undefined;
  after: ConfigDocument | undefined;
}): ConfigChange[] {
  const before = groupContentByScope(options.before);
  const after = groupContentByScope(options.after);
  const scopes = new Set([...before.keys(), ...after.keys()]);
  return [...scopes].flatMap((scope) =>
    diffValues(scope, [], before.get(scope), after.get(scope)),
  );
}

function groupContentByScope(
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
  if (!isPlainObject(before) || !isPlainObject(after)) {
    return [{scope, path: path.join('.'), before, after}];
  }
  const keys = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...keys].flatMap((key) =>
    diffValues(scope, [...path, key], before[key], after[key]),
  );
}

function isPlainObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/**
 * Formats a change as one line.
 *
 * @example
 * formatChange(change); // base limits.maxTokens: 4096 -> 8192
 */
export function formatChange(change: ConfigChange): string {
  const {scope, path, before, after} = change;
  const location = path === '' ? scope : `${scope} ${path}`;
  return `${location}: ${formatValue(before)} -> ${formatValue(after)}`;
}

function formatValue(value: unknown): string {
  return value === undefined ? '(absent)' : JSON.stringify(value);
}
