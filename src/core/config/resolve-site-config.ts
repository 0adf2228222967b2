import type {Result} from 'neverthrow';
import {err} from 'neverthrow';

import {checkNode, createNode, mergeNodes} from '../yaml-check/index.js';
import {
  createInvalidConfigError,
  createUnknownSiteError,
} from './config-error.js';
import {SITE_CONFIG_SCHEMA} from './schema.js';
import type {ConfigDocument, ConfigError, SiteConfig} from './types.js';

/**
 * Merges the base with the overlay of one site and checks the result.
 *
 * @example
 * resolveSiteConfig({document, site: 'waw'}).map((cfg) => cfg.services);
 */
export function resolveSiteConfig(options: {
  document: ConfigDocument;
  site: string;
}): Result<SiteConfig, ConfigError> {
  const {document, site} = options;
  const found = document.overlays.find((overlay) => overlay.site === site);
  if (found === undefined) {
    const known = document.overlays.map((overlay) => overlay.site);
    return err(createUnknownSiteError(site, known));
  }
  const base = createPlainNode(document.base, 'base');
  const overlay = createPlainNode(found.content, `overlays/${site}`);
  const node = mergeNodes({base, overlay});
  return checkNode({node, schema: SITE_CONFIG_SCHEMA}).mapErr(
    createInvalidConfigError,
  );
}

function createPlainNode(value: unknown, file: string) {
  return createNode({value, position: {file, line: 0, column: 0}});
}
