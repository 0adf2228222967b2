/** Command-line flags and the ready line of stand-in programs. */
import type {ParseArgsConfig} from 'node:util';
import {parseArgs} from 'node:util';

/** Parsed flags of a program: flags with a value and switches. */
export interface FlagValues {
  text(name: string, fallback: string): string;
  number(name: string, fallback: number): number;
  isSet(name: string): boolean;
}

/**
 * Parses the command line. Throws on an unknown flag.
 *
 * @example
 * const flags = readFlags({values: ['port'], switches: ['verbose']});
 */
export function readFlags(options: {
  values: readonly string[];
  switches: readonly string[];
}): FlagValues {
  const flagTypes = [
    ...options.values.map((name) => [name, {type: 'string'}] as const),
    ...options.switches.map((name) => [name, {type: 'boolean'}] as const),
  ];
  const flags = Object.fromEntries(flagTypes) as ParseArgsConfig['options'];
  const parsed = parseArgs({options: flags});
  const values = parsed.values as Record<string, string | boolean | undefined>;
  const text = (name: string, fallback: string): string =>
    String(values[name] ?? fallback);
  return {
    text,
    number: (name, fallback) => Number(text(name, String(fallback))),
    isSet: (name) => values[name] === true,
  };
}

/**
 * Prints the ready line and installs a handler that exits on SIGTERM.
 *
 * @example
 * announceReady({port: 8080});
 */
export function announceReady(fields: {
  port: number;
  controlPort?: number;
}): void {
  process.on('SIGTERM', () => process.exit(0));
  process.stdout.write(`${JSON.stringify({ready: true, ...fields})}\n`);
}
