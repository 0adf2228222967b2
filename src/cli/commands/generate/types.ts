import type {ProblemDocument} from '../../http/index.js';

/** Options of `generate`. */
export interface GenerateOptions {
  readonly entry: readonly string[];
  readonly key: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly deadline: number;
  readonly json?: boolean;
}

/** How one stream of a generation ended. */
export enum StreamEndKind {
  /** The output is complete. */
  DONE = 'done',
  /** The connection broke; the generation can be resumed. */
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
