/** Shapes that the parts of a generation's run share. */
import type {RetryBudgets} from '../../core/admission/index.js';
import type {Clock, RandomSource} from '../../core/clock/index.js';
import type {GenerationSpec} from '../../core/edges/index.js';
import type {Metrics} from '../../core/metrics/index.js';
import type {Quarantine} from '../../core/poison/index.js';
import type {OutlierDetector, TargetChooser} from '../../core/routing/index.js';
import type {AgentLinks} from '../links/agent-links.js';
import type {AttemptLocation} from './output-buffer.js';
import type {AttemptLink} from './attempt-link.js';

/** What a run has to bring about. */
export interface GenerationTask {
  readonly requestId: string;
  readonly clientAccount: string;
  readonly fingerprint: string;
  /** Fingerprint of what can crash an engine: account, model and prompt. */
  readonly poisonFingerprint: string;
  readonly service: string;
  readonly retryRatio: number;
  readonly spec: GenerationSpec;
  /** On the process's clock. */
  readonly deadlineAtMs: number;
}

/** What runs need of their entry. */
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
}

/** An attempt and the link over which it is followed. */
export interface OpenAttempt {
  readonly location: AttemptLocation;
  readonly link: AttemptLink;
}

/** Where the answer so far may be had from. */
export interface OutputSource {
  readonly link: AttemptLink;
  readonly location: AttemptLocation;
  /** What the source is to have, or the position to send from. */
  readonly position: number;
}
