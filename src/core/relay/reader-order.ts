/** Orders the entries that may read the store for others. */
import {createHash} from 'node:crypto';

import {ENTRIES_PER_READER, MIN_GROUP_SIZE, WIDE_LINK_SHARE} from './consts.js';
import type {EntryRecord} from './entry-record.js';

/**
 * Returns the entries in the order in which one of them asks for changes, itself
 * included. An entry that finds itself first reads the store. The entries of a
 * data centre choose among themselves if they are enough, as bytes between data
 * centres cost more; the order is by rendezvous hashing, so that the loss of an
 * entry moves only those that asked it. Entries with wide links come first: a
 * reader sends each change to all that ask it, beside the answers to its callers.
 *
 * Answers the load of a fleet in which each entry would read each change: the
 * reads grow with `ENTRIES_PER_READER`, not with the entries.
 *
 * @example
 * orderReaders({vm: 'edge-3', dataCentre: 'a', entries}).at(0); // the reader
 */
export function orderReaders(options: {
  vm: string;
  dataCentre: string;
  entries: readonly EntryRecord[];
}): EntryRecord[] {
  const {vm, dataCentre, entries} = options;
  const neighbours = entries.filter((e) => e.dataCentre === dataCentre);
  const isGroup = neighbours.length >= MIN_GROUP_SIZE;
  const ranked = rank(
    isGroup ? neighbours : entries,
    isGroup ? dataCentre : '',
  );
  const readerCount = Math.ceil(ranked.length / ENTRIES_PER_READER);
  const ownRank = ranked.findIndex((entry) => entry.vm === vm);
  const first = ranked[Math.max(ownRank, 0) % Math.max(readerCount, 1)];
  if (first === undefined) return [];
  return [first, ...ranked.filter((entry) => entry !== first)];
}

function rank(entries: readonly EntryRecord[], group: string): EntryRecord[] {
  const widestMbps = Math.max(0, ...entries.map(linkMbpsOf));
  const leastMbps = widestMbps * WIDE_LINK_SHARE;
  return entries
    .map((entry) => ({
      entry,
      isNarrow: linkMbpsOf(entry) < leastMbps,
      score: scoreOf(group, entry.vm),
    }))
    .sort(
      (a, b) =>
        Number(a.isNarrow) - Number(b.isNarrow) || (a.score < b.score ? -1 : 1),
    )
    .map(({entry}) => entry);
}

function linkMbpsOf({linkMbps = 0}: EntryRecord): number {
  return linkMbps;
}

function scoreOf(group: string, vm: string): string {
  return createHash('sha1').update(`${group}\n${vm}`).digest('hex');
}
