/** Settings of one process, read at its start. */
import type {Layer, LayerError} from '../errors/index.js';
import type {Problem} from '../yaml-check/index.js';

/** Which part a process plays. */
export enum ProcessRole {
  ENTRY = 'entry',
  AGENT = 'agent',
}

/** What runs beside an agent. */
export enum TargetKind {
  ENGINE = 'engine',
  SERVICE = 'service',
}

/** An address to listen on. */
export interface ListenSettings {
  /** IP number. */
  readonly address: string;
  /** Port; 0 lets the machine choose. */
  readonly port: number;
}

/** The target beside an agent. */
export interface TargetSettings {
  readonly kind: TargetKind;
  /** Base URL of the target. */
  readonly url: string;
  /** Name of the service that the target runs. */
  readonly service: string;
  /** Whether the target itself refuses an old fencing number. */
  readonly checksFencing: boolean;
}

/** Everything a process learns from its settings. */
export interface DaemonSettings {
  readonly role: ProcessRole;
  readonly vm: string;
  readonly dataCentre: string;
  /** Names the overlay that holds here. */
  readonly site: string;
  /** Base URL of the platform's API. */
  readonly platformUrl: string;
  /** Where peers connect. */
  readonly peers: ListenSettings;
  /** Where operators and probes connect. */
  readonly operators: ListenSettings;
  /** Where callers connect; an entry only. */
  readonly callers?: ListenSettings;
  /** The target; an agent only. */
  readonly target?: TargetSettings;
}

/** Why settings cannot be used. */
export enum SettingsErrorKind {
  /** A file cannot be read. */
  UNREADABLE = 'unreadable',
  /** They have problems. */
  INVALID = 'invalid',
}

/** An error of the settings layer. */
export interface SettingsError extends LayerError<
  Layer.SETTINGS,
  SettingsErrorKind
> {
  readonly problems: readonly Problem[];
}
