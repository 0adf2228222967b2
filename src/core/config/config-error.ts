import {Layer} from '../errors/index.js';
import type {Problem} from '../yaml-check/index.js';
import {formatProblem, uniqueProblems} from '../yaml-check/index.js';
import type {ConfigError} from './types.js';
import {ConfigErrorKind} from './types.js';

/** Creates the error for a configuration with problems. */
export function createInvalidConfigError(
  problems: readonly Problem[],
): ConfigError {
  const unique = uniqueProblems(problems);
  return {
    layer: Layer.CONFIG,
    kind: ConfigErrorKind.INVALID,
    detail: unique.map(formatProblem).join('\n'),
    problems: unique,
  };
}

/** Creates the error for a site without an overlay. */
export function createUnknownSiteError(
  site: string,
  known: readonly string[],
): ConfigError {
  return {
    layer: Layer.CONFIG,
    kind: ConfigErrorKind.UNKNOWN_SITE,
    detail: `no overlay for site "${site}"; known sites: ${known.join(', ')}`,
    problems: [],
  };
}
