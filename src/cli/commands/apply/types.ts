import type {Maybe} from 'purify-ts';

import type {ConfigDocument, StoredConfig} from '../../../core/config/index.js';

/** Options of `apply`. */
export interface ApplyOptions {
  readonly files: string;
  readonly platform: string;
  /** Name of the operator; the user name of the process by default. */
  readonly operator?: string;
  readonly expectVersion?: number;
  readonly json?: boolean;
}

/** A document to accept. */
export interface AcceptRequest {
  readonly document: ConfigDocument;
  readonly operator: string;
  /**
   * Version that must be in the store; 0 for none. If undefined, any version is
   * replaced unless its object is malformed.
   */
  readonly expectedVersion?: number;
}

/** The accepted configuration in the store. */
export interface CurrentConfig {
  /** 0 if no configuration has been accepted. */
  readonly version: number;
  /** Nothing if the object is absent or malformed. */
  readonly stored: Maybe<StoredConfig>;
}

/** Results of a request to accept a document. */
export enum AcceptKind {
  ACCEPTED = 'accepted',
  UNCHANGED = 'unchanged',
  CONFLICT = 'conflict',
  FAILED = 'failed',
}

/** The outcome of a request to accept a document. */
export type AcceptOutcome =
  | {
      readonly kind: AcceptKind.ACCEPTED;
      readonly version: number;
      readonly previous: CurrentConfig;
    }
  | {readonly kind: AcceptKind.UNCHANGED; readonly version: number}
  | {
      readonly kind: AcceptKind.CONFLICT;
      readonly current: CurrentConfig;
      /**
       * Whether this request's write may have taken effect and been replaced
       * since.
       */
      readonly isInDoubt: boolean;
    }
  | {
      readonly kind: AcceptKind.FAILED;
      readonly detail: string;
      /** Whether this request's write may have taken effect. */
      readonly isInDoubt: boolean;
    };
