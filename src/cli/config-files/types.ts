import type {Layer, LayerError} from '../../core/errors/index.js';
import type {Problem} from '../../core/yaml-check/index.js';

/** Why a deployment's files cannot be used. */
export enum FilesErrorKind {
  UNREADABLE = 'files_unreadable',
  INVALID = 'files_invalid',
}

/** An error of a deployment's files. */
export interface FilesError extends LayerError<Layer.CLI, FilesErrorKind> {
  /** Problems in the files; empty if the files cannot be read. */
  readonly problems: readonly Problem[];
}
