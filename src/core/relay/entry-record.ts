/** Records by which entries find each other. */
import type {GetType} from 'purify-ts';
import {Codec, string} from 'purify-ts';

/** Codec of the stored object of one entry, which the entry's VM names. */
export const ENTRY_RECORD = Codec.interface({
  /** Name of its VM. */
  vm: string,
  dataCentre: string,
  /** IP:PORT on which it answers other entries. */
  address: string,
});

/** An entry and the address on which it answers others. */
export type EntryRecord = GetType<typeof ENTRY_RECORD>;
