import {readFileSync} from 'node:fs';

import {err, ok, Result} from 'neverthrow';

import {Layer} from '../errors/index.js';
import type {Problem, SourceNode} from '../yaml-check/index.js';
import {
  checkNode,
  formatProblem,
  loadYaml,
  mergeNodes,
} from '../yaml-check/index.js';
import {loadOverride} from './load-override.js';
import {DAEMON_SETTINGS_SCHEMA} from './schema.js';
import type {DaemonSettings, SettingsError} from './types.js';
import {SettingsErrorKind} from './types.js';

/**
 * Loads the settings of a process: the base file, merged with the overlay and
 * then with the command-line overrides.
 *
 * @example
 * loadDaemonSettings({
 *   basePath: 'agent.yaml',
 *   overlayPath: 'vm-7.yaml',
 *   overrides: ['peers.port=7001'],
 * });
 */
export function loadDaemonSettings(options: {
  basePath: string;
  overlayPath?: string;
  overrides: readonly string[];
}): Result<DaemonSettings, SettingsError> {
  const {basePath, overlayPath, overrides} = options;
  const paths =
    overlayPath === undefined ? [basePath] : [basePath, overlayPath];
  const layers = [
    ...paths.map(loadFile),
    ...overrides.map((text, index) =>
      loadOverride({text, index}).mapErr(createInvalidSettingsError),
    ),
  ];
  return Result.combineWithAllErrors(layers)
    .mapErr(joinErrors)
    .andThen(checkLayers);
}

function loadFile(file: string): Result<SourceNode, SettingsError> {
  return readText(file).andThen((text) =>
    loadYaml({file, text}).mapErr(createInvalidSettingsError),
  );
}

function readText(path: string): Result<string, SettingsError> {
  try {
    return ok(readFileSync(path, 'utf8'));
  } catch (thrown) {
    return err({
      layer: Layer.SETTINGS,
      kind: SettingsErrorKind.UNREADABLE,
      detail: thrown instanceof Error ? thrown.message : String(thrown),
      problems: [],
    });
  }
}

function checkLayers(
  layers: readonly SourceNode[],
): Result<DaemonSettings, SettingsError> {
  const node = layers.reduce((base, overlay) => mergeNodes({base, overlay}));
  return checkNode({node, schema: DAEMON_SETTINGS_SCHEMA}).mapErr(
    createInvalidSettingsError,
  );
}

function createInvalidSettingsError(
  problems: readonly Problem[],
): SettingsError {
  return {
    layer: Layer.SETTINGS,
    kind: SettingsErrorKind.INVALID,
    detail: problems.map(formatProblem).join('\n'),
    problems,
  };
}

function joinErrors(errors: readonly SettingsError[]): SettingsError {
  const unreadable = errors.find(
    (error) => error.kind === SettingsErrorKind.UNREADABLE,
  );
  return {
    layer: Layer.SETTINGS,
    kind: unreadable?.kind ?? SettingsErrorKind.INVALID,
    detail: errors.map((error) => error.detail).join('\n'),
    problems: errors.flatMap((error) => error.problems),
  };
}
