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
    score: hasher.h32(key + SEPARATOR + member),
  }));
  return scored.sort(compare).map(({member}) => member);
}

function compare(a: Scored, b: Scored): number {
  if (a.score !== b.score) return b.score - a.score;
  return a.member < b.member ? -1 : 1;
}
