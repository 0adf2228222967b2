import type {Maybe} from 'purify-ts';
import {Just, Nothing} from 'purify-ts';

import type {ConfigDocument, SiteOverlay, StoredConfig} from './types.js';

/**
 * Parses the value of the configuration object; returns Nothing if it is
 * malformed.
 *
 * @example
 * parseStoredConfig(stored.value).map(({document}) => document);
 */
export function parseStoredConfig(value: unknown): Maybe<StoredConfig> {
  if (!isRecord(value)) {
    return Nothing;
  }
  const {nonce, operator, document} = value;
  if (typeof nonce !== 'string' || typeof operator !== 'string') {
    return Nothing;
  }
  return isDocument(document) ? Just({nonce, operator, document}) : Nothing;
}

function isDocument(value: unknown): value is ConfigDocument {
  return (
    isRecord(value) &&
    'base' in value &&
    Array.isArray(value['overlays']) &&
    value['overlays'].every(isOverlay)
  );
}

function isOverlay(value: unknown): value is SiteOverlay {
  return isRecord(value) && typeof value['site'] === 'string';
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null;
}
