/** Counts calls to the platform that bookings cause. */
import {ObjectKind} from '../../../src/core/edges/index.js';
import {sendControl} from '../../../tools/lab/lab.js';
import type {Site} from '../../../tools/lab/site.js';

const BOOKING_KINDS: readonly string[] = [ObjectKind.CLAIM, ObjectKind.OUTCOME];
const WRITES: readonly string[] = ['create', 'update', 'delete'];

/** Calls so far. */
export interface PlatformCalls {
  readonly writes: number;
  readonly reads: number;
}

/** Reads what the platform counted of claims and outcomes. */
export async function readPlatformCalls(site: Site): Promise<PlatformCalls> {
  const {calls} = (await sendControl({
    url: `${site.platform.url}/counts`,
  })) as {calls: Array<{kind: string; verb: string; count: number}>};
  const ours = calls.filter(({kind}) => BOOKING_KINDS.includes(kind));
  const sum = (rows: typeof ours): number =>
    rows.reduce((total, {count}) => total + count, 0);
  return {
    writes: sum(ours.filter(({verb}) => WRITES.includes(verb))),
    reads: sum(ours.filter(({verb}) => !WRITES.includes(verb))),
  };
}
