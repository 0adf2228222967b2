/** How a stand-in target behaves, and what it has seen. */
import type {StreamEnd} from './close-delimited-stream.js';
import type {EarlyResponse} from './early-response.js';
import {DEFAULT_BORN_MS} from './registration.js';
import {TargetFault} from './target-fault.js';
import {TargetRoom} from './target-room.js';
import type {CrashRecord, CrashTrigger, RunRecord} from './target-types.js';

/** Behaviour that tests set, and records that they read. */
export class TargetState {
  readonly runs: RunRecord[] = [];
  /** Number of streams whose connection closed before their end. */
  cancelled = 0;
  /** Number of streams that were cut off as nobody read them. */
  cutUnread = 0;
  fault = TargetFault.NONE;
  /** Response to requests before they are read; none by default. */
  earlyResponse?: EarlyResponse;
  /** Start of its incarnation as a Unix time in milliseconds. */
  bornMs = DEFAULT_BORN_MS;
  /** Accepts connections and requests but never responds. */
  isUnresponsive = false;
  /** Whether all responses but load reports tell that the target leaves. */
  isLeaving = false;
  /** Whether load reports tell it. */
  reportsLeaving = false;
  /** Value of `Retry-After` in rejections, in seconds. */
  retryAfterS?: number;
  /**
   * Requests a second that all responses name as its limit, load reports
   * included; none by default.
   */
  limitPerSecond?: number;
  /**
   * Plain calls that it runs at once; it then tells its load with the usual
   * slowness, and rejects further calls. No limit by default.
   */
  slots?: number;
  /**
   * Times at which requests and health checks arrived, whatever became of them,
   * on the monotonic clock of the process.
   */
  readonly arrivedAtMs: number[] = [];
  /** Bytes of a head that `TargetFault.CUT_HEAD` sends. */
  headBytes = 0;
  /** Times of rejections on the monotonic clock of the process. */
  readonly rejectedAtMs: number[] = [];
  /** Requests that crash this target. */
  crashOn?: CrashTrigger;
  /** Crashes caused by requests, over all incarnations. */
  readonly crashes: CrashRecord[] = [];
  /** Ends of its next streams, which are sent without length or chunks. */
  readonly closeDelimitedEnds: StreamEnd[] = [];
  /** Called after a request crashed the target. */
  onCrash: () => void = () => undefined;
  /** Bytes sent in endless responses. */
  endlessBytes = 0;
  /** Ids of KV cache copies that entries released. */
  readonly releasedCopies: string[] = [];
  /** Ids of the KV cache copies stored here. */
  readonly copies = new Set<string>();
  /** Room in its KV cache. */
  readonly room = new TargetRoom();
  /** Share of its plain responses that are failures of its own. */
  failureShare = 0;
  /** Added to the duration of its plain calls, in milliseconds. */
  extraWorkMs = 0;
}
