import {
  CONFIG_CONFLICT,
  CONFIG_WRITE_UNKNOWN,
  STORE_UNREACHABLE,
} from '../../../core/errors/index.js';
import type {ConfigDocument} from '../../../core/config/index.js';
import {
  diffDocuments,
  formatChange,
  loadDeploymentOrReport,
} from '../../config-files/index.js';
import {reportError} from '../../output/index.js';
import type {CliContext} from '../../types.js';
import {ExitStatus} from '../../types.js';
import {ConfigWriter} from './config-writer.js';
import type {AcceptOutcome, ApplyOptions, CurrentConfig} from './types.js';
import {AcceptKind} from './types.js';

/** Runs `apply`. */
export async function runApply(
  ctx: CliContext,
  options: ApplyOptions,
): Promise<ExitStatus> {
  const loaded = await loadDeploymentOrReport(ctx, options.files);
  if (loaded.isErr()) {
    return ExitStatus.BAD_INPUT;
  }
  const {document} = loaded.value;
  const store = await ctx.createStore({baseUrl: options.platform});
  const {clock, random} = ctx;
  const writer = new ConfigWriter({store, clock, random});
  const outcome = await writer.accept({
    document,
    operator: options.operator ?? ctx.operator,
    expectedVersion: options.expectVersion,
  });
  if (options.json === true) {
    ctx.out(`${JSON.stringify(createReport(outcome, document), null, 2)}\n`);
  } else {
    reportOutcome(ctx, outcome, document);
  }
  return toExitStatus(outcome);
}

function toExitStatus({kind}: AcceptOutcome): ExitStatus {
  switch (kind) {
    case AcceptKind.ACCEPTED:
    case AcceptKind.UNCHANGED:
      return ExitStatus.OK;
    case AcceptKind.CONFLICT:
      return ExitStatus.CONFLICT;
    case AcceptKind.FAILED:
      return ExitStatus.FAILED;
  }
}

function reportOutcome(
  ctx: CliContext,
  outcome: AcceptOutcome,
  document: ConfigDocument,
): void {
  switch (outcome.kind) {
    case AcceptKind.UNCHANGED:
      ctx.out(`already accepted at version ${outcome.version}\n`);
      return;
    case AcceptKind.ACCEPTED:
      ctx.out(`accepted at version ${outcome.version}\n`);
      listChanges(outcome.previous, document).forEach((line) =>
        ctx.out(`  ${line}\n`),
      );
      return;
    case AcceptKind.CONFLICT:
      reportConflict(ctx, outcome, document);
      return;
    case AcceptKind.FAILED: {
      const data = outcome.isInDoubt ? CONFIG_WRITE_UNKNOWN : STORE_UNREACHABLE;
      reportError(ctx, data, outcome.detail);
    }
  }
}

function reportConflict(
  ctx: CliContext,
  outcome: AcceptOutcome & {kind: AcceptKind.CONFLICT},
  document: ConfigDocument,
): void {
  const {current, isInDoubt} = outcome;
  reportError(ctx, CONFIG_CONFLICT, describeCurrentConfig(current));
  if (isInDoubt) {
    ctx.err('  Yours may have been accepted first and replaced since.\n');
  }
  ctx.err('Theirs -> yours:\n');
  listChanges(current, document).forEach((line) => ctx.err(`  ${line}\n`));
}

function describeCurrentConfig({version, stored}: CurrentConfig): string {
  if (version === 0) {
    return 'no configuration is accepted';
  }
  return stored
    .map(({operator}) => `${operator} holds version ${version}`)
    .orDefault(`version ${version} has an unknown shape`);
}

function listChanges(
  current: CurrentConfig,
  document: ConfigDocument,
): string[] {
  return diffWithCurrent(current, document).map(formatChange);
}

function diffWithCurrent(current: CurrentConfig, after: ConfigDocument) {
  const before = current.stored.map((stored) => stored.document).extract();
  return diffDocuments({before, after});
}

function createReport(outcome: AcceptOutcome, document: ConfigDocument) {
  switch (outcome.kind) {
    case AcceptKind.ACCEPTED: {
      const {kind, version, previous} = outcome;
      const changes = diffWithCurrent(previous, document);
      return {kind, version, previousVersion: previous.version, changes};
    }
    case AcceptKind.CONFLICT: {
      const {kind, current, isInDoubt} = outcome;
      const operator = current.stored.map((s) => s.operator).extract();
      const changes = diffWithCurrent(current, document);
      const {version} = current;
      return {kind, version, operator, isInDoubt, changes};
    }
    case AcceptKind.UNCHANGED:
    case AcceptKind.FAILED:
      return outcome;
  }
}
