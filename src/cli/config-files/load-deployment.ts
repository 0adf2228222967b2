import {readdir, readFile} from 'node:fs/promises';
import {join} from 'node:path';

import type {Result} from 'neverthrow';
import {err, ok, ResultAsync} from 'neverthrow';

import type {CheckedDeployment} from '../../core/config/index.js';
import {checkDeployment, OVERLAY_EXTENSION} from '../../core/config/index.js';
import {
  CONFIG_INVALID,
  CONFIG_UNREADABLE,
  Layer,
} from '../../core/errors/index.js';
import type {SourceText} from '../../core/yaml-check/index.js';
import {formatProblem} from '../../core/yaml-check/index.js';
import {reportError} from '../output/index.js';
import type {CliContext} from '../types.js';
import type {FilesError} from './types.js';
import {FilesErrorKind} from './types.js';

const BASE_FILE = 'base.yaml';
const OVERLAY_DIR = 'overlays';

/**
 * Reads and checks `base.yaml` and `overlays/<site>.yaml` of a directory.
 *
 * @example
 * await loadDeployment('examples/quickstart');
 */
export async function loadDeployment(
  dir: string,
): Promise<Result<CheckedDeployment, FilesError>> {
  const files = await ResultAsync.fromPromise(readFiles(dir), String);
  if (files.isErr()) {
    return err({
      layer: Layer.CLI,
      kind: FilesErrorKind.UNREADABLE,
      detail: files.error,
      problems: [],
    });
  }
  return checkDeployment(files.value).mapErr((cause) => ({
    layer: Layer.CLI,
    kind: FilesErrorKind.INVALID,
    detail: cause.detail,
    problems: cause.problems,
    cause,
  }));
}

async function readFiles(dir: string): Promise<{
  baseFile: SourceText;
  overlayFiles: SourceText[];
}> {
  const baseFile = await readSource(join(dir, BASE_FILE));
  const overlayDir = join(dir, OVERLAY_DIR);
  const names = (await readdir(overlayDir))
    .filter((name) => name.endsWith(OVERLAY_EXTENSION))
    .sort();
  const overlayFiles = await Promise.all(
    names.map((name) => readSource(join(overlayDir, name))),
  );
  return {baseFile, overlayFiles};
}

async function readSource(file: string): Promise<SourceText> {
  return {file, text: await readFile(file, 'utf8')};
}

/**
 * Loads a deployment; if it has problems, prints them and returns the error.
 *
 * @example
 * const loaded = await loadDeploymentOrReport(ctx, options.files);
 */
export async function loadDeploymentOrReport(
  ctx: CliContext,
  dir: string,
): Promise<Result<CheckedDeployment, FilesError>> {
  const loaded = await loadDeployment(dir);
  if (loaded.isOk()) {
    return ok(loaded.value);
  }
  reportFilesError(ctx, loaded.error);
  return loaded;
}

function reportFilesError(ctx: CliContext, error: FilesError): void {
  if (error.kind === FilesErrorKind.UNREADABLE) {
    reportError(ctx, CONFIG_UNREADABLE, error.detail);
    return;
  }
  for (const problem of error.problems) {
    ctx.err(`${formatProblem(problem)}\n`);
  }
  ctx.err(`${CONFIG_INVALID.title}: ${error.problems.length} problem(s)\n`);
}
