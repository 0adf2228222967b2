import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** Separates key and member, so that `ab` + `c` differs from `a` + `bc`. */
const SEPARATOR = '\n';

interface Scored {
  readonly member: string;
  readonly score: number;
}

/**
 * Orders members by rendezvous hashing: each key has its own order, and adding
 * or removing a member does not change the order of the others.
 *
 * @example
 * rankByRendezvous({key: 'entry-1', members: ['engine-1', 'engine-2']});
 */
export function rankByRendezvous(options: {
  key: string;
  members: readonly string[];
}): string[] {
  const {key, members} = options;
  const scored = members.map((member): Scored => ({
    member,
    score: scoreOf(key, member),
  }));
  return scored.sort(compare).map(({member}) => member);
}

/**
 * Whether a member is among the first `count` in a key's order. If it is not,
 * this is much cheaper than `rankByRendezvous`.
 *
 * @example
 * isAmongFirst({key: 'engine-1', member: 'entry-1', members, count: 2});
 */
export function isAmongFirst(options: {
  key: string;
  member: string;
  /** Members to compare with; `member` may be one of them. */
  members: readonly string[];
  count: number;
}): boolean {
  const {key, member, members, count} = options;
  const own = {member, score: scoreOf(key, member)};
  let ahead = 0;
  for (const candidate of members) {
    if (candidate === member) continue;
    const other = {member: candidate, score: scoreOf(key, candidate)};
    if (compare(other, own) < 0 && ++ahead >= count) return false;
  }
  return true;
}

function scoreOf(key: string, member: string): number {
  return hasher.h32(key + SEPARATOR + member);
}

function compare(a: Scored, b: Scored): number {
  if (a.score !== b.score) return b.score - a.score;
  return a.member < b.member ? -1 : 1;
}
