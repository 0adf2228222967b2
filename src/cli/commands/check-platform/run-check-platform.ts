import {readFile} from 'node:fs/promises';

import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';

import {findRoutingProblems} from '../../../core/routes/index.js';
import type {CliContext} from '../../types.js';
import {ExitStatus} from '../../types.js';
import type {CheckPlatformOptions} from './types.js';

/** A problem in a file. */
interface FileProblem {
  readonly file: string;
  /** Part of the file, such as the path of a route. */
  readonly subject: string;
  readonly detail: string;
}

/** Runs `check-platform`. */
export async function runCheckPlatform(
  ctx: Pick<CliContext, 'out' | 'err' | 'platform'>,
  options: CheckPlatformOptions,
): Promise<ExitStatus> {
  const {settings, routes, json} = options;
  if (settings === undefined && routes === undefined) {
    ctx.err('specify a file with --settings or --routes\n');
    return ExitStatus.BAD_INPUT;
  }
  const problems = [
    ...(settings === undefined ? [] : await checkSettings(ctx, settings)),
    ...(routes === undefined ? [] : await checkRoutes(ctx, routes)),
  ];
  const isOk = problems.length === 0;
  if (json === true) {
    ctx.out(`${JSON.stringify({ok: isOk, problems}, null, 2)}\n`);
  } else if (isOk) {
    ctx.out('ok\n');
  } else {
    ctx.err(problems.map(formatProblem).join(''));
  }
  return isOk ? ExitStatus.OK : ExitStatus.BAD_INPUT;
}

async function checkSettings(
  {platform}: Pick<CliContext, 'platform'>,
  file: string,
): Promise<FileProblem[]> {
  const settings = (await readText(file)).andThen(platform.parseSettings);
  return settings.match(
    () => [],
    (detail) => [{file, subject: 'settings', detail}],
  );
}

async function checkRoutes(
  {platform}: Pick<CliContext, 'platform'>,
  file: string,
): Promise<FileProblem[]> {
  const config = (await readText(file)).andThen(platform.parseConfig);
  return config.match(
    (parsedConfig) =>
      findRoutingProblems(parsedConfig).map(({subject, detail}) => ({
        file,
        subject,
        detail,
      })),
    (detail) => [{file, subject: 'configuration', detail}],
  );
}

async function readText(file: string): Promise<Result<string, string>> {
  try {
    return ok(await readFile(file, 'utf8'));
  } catch (e) {
    return err(e instanceof Error ? e.message : String(e));
  }
}

function formatProblem({file, subject, detail}: FileProblem): string {
  return `${file}: ${subject}: ${detail}\n`;
}
