/** Settings of one process, read when it starts. */
import type {Layer, LayerError} from '../errors/index.js';
import type {Problem} from '../yaml-check/index.js';

/** Role of a process. */
export enum ProcessRole {
  ENTRY = 'entry',
  AGENT = 'agent',
}

/** Kinds of targets that an agent can serve. */
export enum TargetKind {
  ENGINE = 'engine',
  SERVICE = 'service',
}

/** An address to listen on. */
export interface ListenSettings {
  /** IP address. */
  readonly address: string;
  /** Port; 0 selects a free port. */
  readonly port: number;
}

/** The target of an agent. */
export interface TargetSettings {
  readonly kind: TargetKind;
  /** Base URL of the target. */
  readonly url: string;
  /** Name of the service that the target serves. */
  readonly service: string;
  /** Whether the target itself refuses an outdated fencing number. */
  readonly checksFencing: boolean;
}

/** All settings of a process. */
export interface DaemonSettings {
  readonly role: ProcessRole;
  /** Name of this VM. */
  readonly vm: string;
  readonly dataCentre: string;
  /** Name of the site, which selects the configuration overlay. */
  readonly site: string;
  /** Base URL of the platform's API. */
  readonly platformUrl: string;
  /** Address on which peers connect. */
  readonly peers: ListenSettings;
  /** Address on which operators and probes connect. */
  readonly operators: ListenSettings;
  /** Address on which callers connect; only for an entry. */
  readonly callers?: ListenSettings;
  /** The target; only for an agent. */
  readonly target?: TargetSettings;
  /** Memory of the process, in MB, from which bounds are derived. */
  readonly memoryMb?: number;
  /** Largest number of open connections; derived by default. */
  readonly maxConnections?: number;
  /** Time within which a client reads a part of its response, in ms. */
  readonly unreadTimeoutMs?: number;
}

/** Why settings were rejected. */
export enum SettingsErrorKind {
  /** A file cannot be read. */
  UNREADABLE = 'unreadable',
  /** The settings have problems. */
  INVALID = 'invalid',
}

/** An error of the settings layer. */
export interface SettingsError extends LayerError<
  Layer.SETTINGS,
  SettingsErrorKind
> {
  readonly problems: readonly Problem[];
}
