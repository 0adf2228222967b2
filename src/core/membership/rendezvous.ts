import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** Keeps `ab` with `c` apart from `a` with `bc`. */
const SEPARATOR = '\n';

interface Scored {
  readonly member: string;
  readonly score: number;
}

/**
 * Orders members by rendezvous hashing: each key has an order of its own, and
 * a member that comes or goes moves no other against the rest.
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
 * Whether a member is among the first `count` in a key's order; far cheaper
 * than the whole order where it is not.
 *
 * @example
 * isAmongFirst({key: 'engine-1', member: 'entry-1', rivals, count: 2});
 */
export function isAmongFirst(options: {
  key: string;
  member: string;
  members: readonly string[];
  count: number;
}): boolean {
  const {key, member, members: rivals, count} = options;
  const own = {member, score: scoreOf(key, member)};
  let ahead = 0;
  for (const rival of rivals) {
    if (rival === member) continue;
    const other = {member: rival, score: scoreOf(key, rival)};
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
