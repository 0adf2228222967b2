/** Shapes shared by all commands. */
import type {Command} from 'commander';
import type {Result} from 'neverthrow';

import type {Clock, RandomSource} from '../core/clock/index.js';
import type {ObjectStore} from '../core/edges/index.js';
import type {RoutingConfig} from '../core/routes/index.js';
import type {DirectSettings} from '../core/settings/direct-settings.js';

/** What the tool tells the shell. */
export enum ExitStatus {
  OK = 0,
  FAILED = 1,
  BAD_INPUT = 2,
  CONFLICT = 3,
  REFUSED = 4,
}

/** Reads texts in the platform's formats; errors are one line. */
export interface PlatformParsers {
  readonly parseSettings: (text: string) => Result<DirectSettings, string>;
  readonly parseConfig: (text: string) => Result<RoutingConfig, string>;
}

/** What commands need from the outside. */
export interface CliContext {
  /** Writes to the standard output. */
  out(text: string): void;
  /** Writes to the standard error. */
  err(text: string): void;
  createStore(options: {baseUrl: string}): Promise<ObjectStore>;
  readonly platform: PlatformParsers;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Name of the operator where the command line gives none. */
  readonly operator: string;
}

/** What a command's declaration gets. */
export interface CommandOptions {
  readonly ctx: CliContext;
  /** Takes the status with which the tool ends. */
  readonly finish: (status: ExitStatus) => void;
}

/** Declares a command; its code is loaded when it runs. */
export type CommandFactory = (options: CommandOptions) => Command;
