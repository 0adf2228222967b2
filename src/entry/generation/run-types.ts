/** Types shared by the modules that run a generation. */
import type {RetryBudgets} from '../../core/admission/index.js';
import type {Clock, RandomSource} from '../../core/clock/index.js';
import type {GenerationSpec} from '../../core/edges/index.js';
import type {Metrics} from '../../core/metrics/index.js';
import type {Quarantine} from '../../core/poison/index.js';
import type {OutlierDetector, TargetChooser} from '../../core/routing/index.js';
import type {Supervisor} from '../../core/supervision/index.js';
import type {AgentLinks} from '../links/agent-links.js';
import type {AttemptLocation} from './output-buffer.js';
import type {AttemptLink} from './attempt-link.js';

/** A generation to run. */
export interface GenerationTask {
  readonly requestId: string;
  readonly clientAccount: string;
  /** Fingerprint of the client account and the parameters. */
  readonly fingerprint: string;
  /** Fingerprint of what can crash an engine: account, model and prompt. */
  readonly poisonFingerprint: string;
  readonly service: string;
  readonly retryRatio: number;
  readonly spec: GenerationSpec;
  /** On the monotonic clock of this process. */
  readonly deadlineAtMs: number;
}

/** Dependencies of the generations of an entry. */
export interface GenerationDeps {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly metrics: Metrics;
  readonly links: AgentLinks;
  readonly chooser: TargetChooser;
  readonly failures: OutlierDetector;
  readonly retryBudgets: RetryBudgets;
  readonly dataCentre: string;
  readonly quarantine: Quarantine;
  readonly supervisor: Supervisor;
}

/** An attempt and the link that delivers its messages. */
export interface OpenAttempt {
  readonly location: AttemptLocation;
  readonly link: AttemptLink;
}

/** An agent or entry from which the output so far can be read. */
export interface OutputSource {
  readonly link: AttemptLink;
  readonly location: AttemptLocation;
  /**
   * For an agent, the position from which it sends tokens. An entry sends all
   * tokens, but only if its buffer has at least this many.
   */
  readonly position: number;
}
