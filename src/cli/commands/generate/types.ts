import type {ProblemDocument} from '../../http/index.js';

/** Options of `generate`. */
export interface GenerateOptions {
  /** Base URLs of entries, which are tried in turn. */
  readonly entry: readonly string[];
  /** Bearer key of a client account. */
  readonly key: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Time allowed for the complete output, in milliseconds. */
  readonly deadline: number;
  readonly json?: boolean;
}

/** How one stream of a generation ended. */
export enum StreamEndKind {
  /** The output is complete. */
  DONE = 'done',
  /** The stream ended early; the generation can be resumed. */
  BROKEN = 'broken',
  /** The request was refused. */
  REFUSED = 'refused',
}

/** The end of one stream of a generation. */
export type StreamEnd =
  | {readonly kind: StreamEndKind.DONE}
  | {
      readonly kind: StreamEndKind.BROKEN;
      readonly detail: string;
      readonly retryAfterMs?: number;
    }
  | {
      readonly kind: StreamEndKind.REFUSED;
      readonly problem: ProblemDocument;
      readonly retryAfterMs?: number;
    };
