/** Counts the platform calls made for bookings. */
import {ObjectKind} from '../../../src/core/edges/index.js';
import {sendControl} from '../../../tools/lab/lab.js';
import type {Site} from '../../../tools/lab/site.js';

const BOOKING_KINDS: readonly string[] = [ObjectKind.CLAIM, ObjectKind.OUTCOME];
const WRITES: readonly string[] = ['create', 'update', 'delete'];

/** Number of calls since the start of the platform. */
export interface PlatformCalls {
  readonly writes: number;
  readonly reads: number;
}

/** Reads the call counts of claims and outcomes from the platform. */
export async function readPlatformCalls(site: Site): Promise<PlatformCalls> {
  const {calls} = (await sendControl({
    url: `${site.platform.url}/counts`,
  })) as {calls: Array<{kind: string; verb: string; count: number}>};
  const bookingCalls = calls.filter(({kind}) => BOOKING_KINDS.includes(kind));
  const sum = (rows: typeof bookingCalls): number =>
    rows.reduce((total, {count}) => total + count, 0);
  return {
    writes: sum(bookingCalls.filter(({verb}) => WRITES.includes(verb))),
    reads: sum(bookingCalls.filter(({verb}) => !WRITES.includes(verb))),
  };
}
