/** What every stand-in program does at its start. */
import type {ParseArgsConfig} from 'node:util';
import {parseArgs} from 'node:util';

/** Flags of a program: each has a value, or is a switch. */
export interface FlagValues {
  text(name: string, fallback: string): string;
  number(name: string, fallback: number): number;
  isSet(name: string): boolean;
}

/**
 * Reads the command line; an unknown flag throws.
 *
 * @example
 * const flags = readFlags({values: ['port'], switches: ['verbose']});
 */
export function readFlags(options: {
  values: readonly string[];
  switches: readonly string[];
}): FlagValues {
  const known = [
    ...options.values.map((name) => [name, {type: 'string'}] as const),
    ...options.switches.map((name) => [name, {type: 'boolean'}] as const),
  ];
  const flags = Object.fromEntries(known) as ParseArgsConfig['options'];
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
 * Prints the ready line and exits on SIGTERM.
 *
 * @example
 * announce({port: 8080});
 */
export function announceReady(fields: {
  port: number;
  controlPort?: number;
}): void {
  process.on('SIGTERM', () => process.exit(0));
  process.stdout.write(`${JSON.stringify({ready: true, ...fields})}\n`);
}
