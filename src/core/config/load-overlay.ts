import {basename} from 'node:path';

import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';

import type {
  MapEntry,
  MapNode,
  Problem,
  SourceNode,
  SourceText,
} from '../yaml-check/index.js';
import {
  createMapNode,
  createProblem,
  describeNode,
  loadYaml,
  NodeKind,
} from '../yaml-check/index.js';
import {OVERLAY_EXTENSION, SITE_KEY} from './consts.js';

/** A parsed overlay file. */
export interface LoadedOverlay {
  readonly site: string;
  /** The content without the `site` key. */
  readonly node: SourceNode;
}

/**
 * Parses the overlay of one site. The name of the file is the name of the
 * site; a `site` key in the file must match it.
 */
export function loadOverlay(
  source: SourceText,
): Result<LoadedOverlay, Problem[]> {
  const site = basename(source.file, OVERLAY_EXTENSION);
  return loadYaml(source).andThen((node) => {
    if (node.kind !== NodeKind.MAP) {
      return loadEmptyOverlay(site, node);
    }
    const siteEntry = node.entries.get(SITE_KEY);
    const problems = siteEntry === undefined ? [] : checkSite(siteEntry, site);
    return problems.length === 0
      ? ok({site, node: removeSite(node)})
      : err(problems);
  });
}

function loadEmptyOverlay(
  site: string,
  node: SourceNode,
): Result<LoadedOverlay, Problem[]> {
  if (node.kind === NodeKind.SCALAR && node.value === null) {
    return ok({site, node});
  }
  const {position} = node;
  const found = describeNode(node);
  return err([createProblem({position, path: [], expected: 'a map', found})]);
}

function checkSite(entry: MapEntry, site: string): Problem[] {
  const {node} = entry;
  if (node.kind === NodeKind.SCALAR && node.value === site) {
    return [];
  }
  const expected = `"${site}", the name of the file`;
  const found = describeNode(node);
  const {position} = node;
  return [createProblem({position, path: [SITE_KEY], expected, found})];
}

function removeSite(node: MapNode): MapNode {
  const entries = [...node.entries].filter(([key]) => key !== SITE_KEY);
  return createMapNode({position: node.position, entries});
}
