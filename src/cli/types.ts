/** Types shared by all commands. */
import type {Command} from 'commander';
import type {Result} from 'neverthrow';

import type {Clock, RandomSource} from '../core/clock/index.js';
import type {ObjectStore} from '../core/edges/index.js';
import type {RoutingConfig} from '../core/routes/index.js';
import type {DirectSettings} from '../core/settings/direct-settings.js';

/** Exit statuses of the tool. */
export enum ExitStatus {
  OK = 0,
  FAILED = 1,
  BAD_INPUT = 2,
  CONFLICT = 3,
  REFUSED = 4,
}

/** Parsers for the platform's file formats; an error is one line of text. */
export interface PlatformParsers {
  readonly parseSettings: (text: string) => Result<DirectSettings, string>;
  readonly parseConfig: (text: string) => Result<RoutingConfig, string>;
}

/** External dependencies of the commands. */
export interface CliContext {
  /** Writes to the standard output. */
  out(text: string): void;
  /** Writes to the standard error. */
  err(text: string): void;
  createStore(options: {baseUrl: string}): Promise<ObjectStore>;
  readonly platform: PlatformParsers;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Environment variables. */
  readonly env: Readonly<Record<string, string | undefined>>;
  /** Reads the standard input to its end. */
  readInput(): Promise<string>;
  /** Name of the operator if the command line specifies none. */
  readonly operator: string;
}

/** Dependencies of a command. */
export interface CommandOptions {
  readonly ctx: CliContext;
  /** Sets the exit status of the tool. */
  readonly finish: (status: ExitStatus) => void;
}

/** Creates a command, whose implementation is loaded when it runs. */
export type CommandFactory = (options: CommandOptions) => Command;
