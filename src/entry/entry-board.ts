import type {Maybe} from 'purify-ts';
import {Nothing} from 'purify-ts';

import type {EntryCapacity} from '../core/admission/index.js';
import {Cell} from '../core/blackboard/index.js';
import type {SiteConfig} from '../core/config/types.js';
import type {VmRecord} from '../core/edges/index.js';

/** The configuration that this entry applies. */
export interface ActiveConfig {
  readonly version: number;
  readonly cfg: SiteConfig;
}

/** The shared state of an entry. */
export class EntryBoard {
  readonly config = new Cell<Maybe<ActiveConfig>>(Nothing);
  /** Monotonic time at which the platform last confirmed the configuration. */
  readonly configConfirmedAtMs = new Cell(Number.NEGATIVE_INFINITY);
  /** The VM list as last read; it lags behind the state of the VMs. */
  readonly vms = new Cell<readonly VmRecord[]>([]);
  readonly draining = new Cell(false);
  /** This entry's share of the targets' capacity. */
  readonly capacity = new Cell<EntryCapacity>({liveEntries: 1, services: []});
}
