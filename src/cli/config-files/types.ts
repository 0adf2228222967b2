import type {Layer, LayerError} from '../../core/errors/index.js';
import type {Problem} from '../../core/yaml-check/index.js';

/** Why a deployment's files cannot be used. */
export enum FilesErrorKind {
  UNREADABLE = 'files_unreadable',
  INVALID = 'files_invalid',
}

/** An error of a deployment's files. */
export interface FilesError extends LayerError<Layer.CLI, FilesErrorKind> {
  readonly problems: readonly Problem[];
}
