/** Records by which entries find each other. */
import type {GetType} from 'purify-ts';
import {Codec, Left, number, optional, Right, string} from 'purify-ts';

import {parseIpEndpoint} from '../codec/ip-endpoint.js';

/** Codec of an IP:PORT. Connecting to another text would throw. */
const PEER_ADDRESS = Codec.custom<string>({
  decode: (value) =>
    typeof value === 'string' && parseIpEndpoint(value) !== undefined
      ? Right(value)
      : Left('expected IP:PORT'),
  encode: (value) => value,
});

/** Codec of the stored object of one entry, which the entry's VM names. */
export const ENTRY_RECORD = Codec.interface({
  /** Name of its VM. */
  vm: string,
  dataCentre: string,
  /** IP:PORT on which it answers other entries. */
  address: PEER_ADDRESS,
  /** Bandwidth of its VM's link, in Mbit/s; undefined if it is not known. */
  linkMbps: optional(number),
});

/** An entry and the address on which it answers others. */
export type EntryRecord = Omit<GetType<typeof ENTRY_RECORD>, 'linkMbps'> & {
  readonly linkMbps?: number;
};
