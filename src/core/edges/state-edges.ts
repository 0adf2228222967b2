/** What an entry reads from the platform's store and writes to it, by kind. */
import type {QuarantineRecord, RecordedLosses} from '../poison/index.js';
import type {RoutingConfig} from '../routes/index.js';
import type {EpochRecord} from '../sync/index.js';
import type {TargetRecord} from '../targets/index.js';
import type {StateSource} from './state-source.js';
import type {StateWriter} from './state-writer.js';

/** Sources and writers of the kinds that routing depends on. */
export interface StateEdges {
  readonly configs: StateSource<RoutingConfig>;
  /** What the entries know of the store's epoch. */
  readonly epochSource: StateSource<EpochRecord>;
  readonly epochWriter: StateWriter<EpochRecord>;
  readonly registrations: StateSource<TargetRecord>;
  /** Requests that crashed targets and are refused. */
  readonly quarantineSource: StateSource<QuarantineRecord>;
  readonly quarantineWriter: StateWriter<QuarantineRecord>;
  /** Target losses recorded by the entries. */
  readonly lossSource: StateSource<RecordedLosses>;
  readonly lossWriter: StateWriter<RecordedLosses>;
  /** Losses, over all entries, of requests that may be poison. */
  readonly alertSource: StateSource<RecordedLosses>;
  readonly alertWriter: StateWriter<RecordedLosses>;
}
