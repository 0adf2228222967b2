/** Types of the decisions on copies of KV caches. */

/** Why a prompt is read although an engine had read it, or was read in vain. */
export enum RereadCause {
  /** No target kept a copy of the KV cache. */
  NO_COPY = 'no_copy',
  /** The engine was lost before anything had been copied. */
  COPY_TOO_NEW = 'copy_too_new',
  /** The target that kept the copy was lost or leaves. */
  HOLDER_LOST = 'holder_lost',
  /** The target that kept the copy did not accept the generation. */
  HOLDER_REFUSED = 'holder_refused',
  /** The generation must run apart from others that lost the same engines. */
  ISOLATED = 'isolated',
  /** The caller left before the end. */
  CALLER_LEFT = 'caller_left',
  /** The caller's time ended before the generation did. */
  LATE = 'late',
  /** The generation failed and was not tried again. */
  FAILED = 'failed',
}

/** What is known of the copy of an attempt that was lost. */
export interface CopyProgress {
  /** Whether a target was asked to keep a copy. */
  readonly hasHolder: boolean;
  /** Events that the attempt has sent. */
  readonly events: number;
  /** Time since its first event, in milliseconds. */
  readonly writingMs: number;
}

/** An attempt that was lost. */
export interface LostAttempt {
  /** Whether the engine may have run it. */
  readonly didRun: boolean;
  /** Whether it was to resume from a copy. */
  readonly usedCopy: boolean;
  readonly copy: CopyProgress;
  /** The cause that the loss before it gave. */
  readonly earlier?: RereadCause;
}

/** What is done for a copy. */
export enum CopyStep {
  KEEP = 'keep',
  /** Its holder gets what is new. */
  REFRESH = 'refresh',
  /** Another holder is chosen by the reports that there are. */
  REPLACE = 'replace',
  /** New reports are asked for, and a holder is chosen by them. */
  SEARCH = 'search',
}

/** What the next step for a copy depends on. */
export interface CopyState {
  /** The newest copy; undefined if there is none. */
  readonly copy?: {
    /** Whether a generation could resume at its holder. */
    readonly isUsable: boolean;
    /** Whether it was requested by a call, so that it grows only by calls. */
    readonly isRequested: boolean;
  };
  /** Whether a generation without a copy gets one later. */
  readonly mustHaveCopy: boolean;
  /** Time since a copy was last requested or looked for, in milliseconds. */
  readonly ageMs: number;
}
