/** The permits that this entry grants itself and others. */
import type {Clock, RandomSource} from '../clock/index.js';
import {MAX_POOLS} from './consts.js';
import {LimitPool} from './limit-pool.js';
import type {Sharers} from './sharers.js';
import {createSharers} from './sharers.js';
import type {PermitAnswer, PermitPeers, PermitQuery} from './types.js';

interface PoolEntry {
  readonly pool: LimitPool;
  /** The shares that were computed last, and what for. */
  sharers?: {
    readonly entries?: readonly string[];
    readonly perSecond: number;
    readonly shares: Sharers;
  };
}

/**
 * Grants permits for all targets that name a limit, to this entry and to those
 * that ask it. However entries are grouped, each share of a limit is granted by
 * one of them.
 *
 * @example
 * const pools = new LimitPools({vm, peers, clock, random});
 * pools.request(query);
 */
export class LimitPools {
  private readonly pools = new Map<string, PoolEntry>();

  constructor(
    private readonly options: {
      /** VM of this entry. */
      vm: string;
      peers: Pick<PermitPeers, 'entries' | 'members'>;
      clock: Clock;
      random: RandomSource;
    },
  ) {}

  /** Grants or refuses a permit; `hasOwn` is whether this entry's share counts. */
  request(query: PermitQuery, {hasOwn}: {hasOwn: boolean}): PermitAnswer {
    const entry = this.entryOf(query.target);
    entry.pool.hear(query.limit);
    const {vm, peers} = this.options;
    const vms = new Set([...peers.members(), ...(hasOwn ? [vm] : [])]);
    return entry.pool.request(query, (perSecond) => {
      const shares = this.sharesOf(entry, query.target, perSecond);
      return [...vms].reduce((sum, name) => sum + shares.shareOf(name), 0);
    });
  }

  private sharesOf(
    entry: PoolEntry,
    target: string,
    perSecond: number,
  ): Sharers {
    const {vm, peers} = this.options;
    const {entries} = peers;
    const {sharers} = entry;
    if (sharers?.entries === entries && sharers?.perSecond === perSecond)
      return sharers.shares;
    const shares = createSharers({vm, entries, target, perSecond});
    entry.sharers = {entries, perSecond, shares};
    return shares;
  }

  private entryOf(target: string): PoolEntry {
    const known = this.pools.get(target);
    if (known !== undefined) return known;
    const {clock, random} = this.options;
    // Many entries hear of a limit at once, and must not all send at once.
    const pool = new LimitPool({clock, permits: random.float()});
    const entry = {pool};
    this.pools.set(target, entry);
    const [oldest] = this.pools.keys();
    if (this.pools.size > MAX_POOLS) this.pools.delete(oldest!);
    return entry;
  }
}
