import type {Writable} from 'node:stream';

import winston from 'winston';

import type {Logger} from './types.js';

/**
 * Creates the logger of a process; every line contains its VM and role.
 *
 * @example
 * const logger = createLogger({vm: 'entry-1', role: 'entry'});
 * logger.info('configuration applied', {version: 12});
 */
export function createLogger(options: {
  vm: string;
  role: string;
  /** Destination of the lines; standard error by default. */
  sink?: Writable;
}): Logger {
  const {vm, role, sink} = options;
  const transport =
    sink === undefined
      ? new winston.transports.Console({
          stderrLevels: ['error', 'warn', 'info'],
        })
      : new winston.transports.Stream({stream: sink, eol: '\n'});
  const format = winston.format.combine(
    winston.format.timestamp(),
    winston.format.json(),
  );
  return winston.createLogger({
    defaultMeta: {vm, role},
    format,
    transports: [transport],
  });
}
