import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';

import type {Problem, SourceNode, SourceText} from '../yaml-check/index.js';
import {
  checkNode,
  createProblem,
  loadYaml,
  mergeNodes,
  toPlainValue,
} from '../yaml-check/index.js';
import {checkSiteConsistency} from './check-site-consistency.js';
import {createInvalidConfigError} from './config-error.js';
import type {LoadedOverlay} from './load-overlay.js';
import {loadOverlay} from './load-overlay.js';
import {SITE_CONFIG_SCHEMA} from './schema.js';
import type {ConfigDocument, ConfigError, SiteConfig} from './types.js';

/** The configuration of one site. */
export interface CheckedSite {
  readonly site: string;
  readonly config: SiteConfig;
}

/** A deployment without problems. */
export interface CheckedDeployment {
  readonly document: ConfigDocument;
  readonly sites: readonly CheckedSite[];
}

/**
 * Checks the base and the base merged with each overlay. Reports all problems
 * at once, each at the position of its value.
 *
 * @example
 * checkDeployment({baseFile, overlayFiles}).map(({document}) => document);
 */
export function checkDeployment(options: {
  baseFile: SourceText;
  overlayFiles: readonly SourceText[];
}): Result<CheckedDeployment, ConfigError> {
  const check = new DeploymentCheck();
  const deployment = check.run(options.baseFile, options.overlayFiles);
  return check.problems.length === 0 && deployment !== undefined
    ? ok(deployment)
    : err(createInvalidConfigError(check.problems));
}

/** Collects the problems of one deployment. */
class DeploymentCheck {
  readonly problems: Problem[] = [];

  run(
    baseFile: SourceText,
    overlayFiles: readonly SourceText[],
  ): CheckedDeployment | undefined {
    const overlays = overlayFiles.flatMap((file) => {
      const overlay = this.collect(loadOverlay(file));
      return overlay === undefined ? [] : [overlay];
    });
    const base = this.collect(loadYaml(baseFile));
    if (base === undefined) {
      return undefined;
    }
    this.checkHasSites(base, overlayFiles);
    this.collect(checkNode({node: base, schema: SITE_CONFIG_SCHEMA}));
    const sites = overlays.flatMap((overlay) => this.checkSite(base, overlay));
    return {document: createDocument(base, overlays), sites};
  }

  private checkHasSites(
    base: SourceNode,
    overlayFiles: readonly SourceText[],
  ): void {
    if (overlayFiles.length > 0) {
      return;
    }
    const expected = 'an overlay for each site';
    const {position} = base;
    this.problems.push(
      createProblem({position, path: [], expected, found: 'no overlay'}),
    );
  }

  private checkSite(base: SourceNode, overlay: LoadedOverlay): CheckedSite[] {
    const merged = mergeNodes({base, overlay: overlay.node});
    this.problems.push(...checkSiteConsistency({base, merged}));
    const config = this.collect(
      checkNode({node: merged, schema: SITE_CONFIG_SCHEMA}),
    );
    return config === undefined ? [] : [{site: overlay.site, config}];
  }

  private collect<T>(result: Result<T, Problem[]>): T | undefined {
    if (result.isErr()) {
      this.problems.push(...result.error);
      return undefined;
    }
    return result.value;
  }
}

function createDocument(
  base: SourceNode,
  overlays: readonly LoadedOverlay[],
): ConfigDocument {
  return {
    base: toPlainValue(base),
    overlays: overlays.map(({site, node}) => ({
      site,
      content: toPlainValue(node),
    })),
  };
}
