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

/** A document to accept. */
export interface AcceptRequest {
  readonly document: ConfigDocument;
  readonly operator: string;
  /** Version that the store must hold; 0 for none. */
  readonly expectedVersion?: number;
}

/** The accepted configuration in the store. */
export interface CurrentConfig {
  /** 0 if no configuration has been accepted. */
  readonly version: number;
  /** Nothing if the object is absent or malformed. */
  readonly stored: Maybe<StoredConfig>;
}

/** Results of the acceptance of a document. */
export enum AcceptKind {
  ACCEPTED = 'accepted',
  UNCHANGED = 'unchanged',
  CONFLICT = 'conflict',
  FAILED = 'failed',
}

/** The outcome of the acceptance of a document. */
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
      /** Whether an own write may have taken effect and been replaced. */
      readonly isInDoubt: boolean;
    }
  | {
      readonly kind: AcceptKind.FAILED;
      readonly detail: string;
      /** Whether an own write may have taken effect. */
      readonly isInDoubt: boolean;
    };
