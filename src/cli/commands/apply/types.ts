import type {Maybe} from 'purify-ts';

import type {ConfigDocument, StoredConfig} from '../../../core/config/index.js';

/** Options of `apply`. */
export interface ApplyOptions {
  readonly files: string;
  readonly platform: string;
  readonly operator?: string;
  readonly expectVersion?: number;
  readonly json?: boolean;
}

/** What an operator wants accepted. */
export interface AcceptRequest {
  readonly document: ConfigDocument;
  readonly operator: string;
  /** Version that has to be in the store; 0 where there is none. */
  readonly expectedVersion?: number;
}

/** The accepted configuration as the store holds it. */
export interface CurrentConfig {
  /** 0 where nothing was accepted yet. */
  readonly version: number;
  /** Nothing where the object is absent or has another shape. */
  readonly stored: Maybe<StoredConfig>;
}

/** How an attempt to accept a document ended. */
export enum AcceptKind {
  ACCEPTED = 'accepted',
  UNCHANGED = 'unchanged',
  CONFLICT = 'conflict',
  FAILED = 'failed',
}

/** The outcome of an attempt to accept a document. */
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
      /** Whether a write of ours may have held for a time. */
      readonly isInDoubt: boolean;
    }
  | {
      readonly kind: AcceptKind.FAILED;
      readonly detail: string;
      /** Whether a write of ours may have taken effect. */
      readonly isInDoubt: boolean;
    };
