/** Errors of the generation layer. */
import type {Layer, LayerError} from '../errors/types.js';

/** Kinds of errors of the generation layer. */
export enum GenerationErrorKind {
  BAD_EVENT_ID = 'bad_event_id',
}

/** An error of the generation layer. */
export type GenerationError = LayerError<Layer.GENERATION, GenerationErrorKind>;
