/** Records by which entries find each other. */
import {isIP} from 'node:net';

import type {GetType} from 'purify-ts';
import {Codec, Left, Right, string} from 'purify-ts';

const MAX_PORT = 65_535;

/** Codec of an IP:PORT. Connecting to another text would throw. */
const PEER_ADDRESS = Codec.custom<string>({
  decode: (value) =>
    typeof value === 'string' && isPeerAddress(value)
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
});

/**
 * Splits an IP:PORT.
 *
 * @example
 * splitPeerAddress('10.0.0.7:7200'); // {address: '10.0.0.7', port: 7200}
 */
export function splitPeerAddress(text: string): {
  address: string;
  port: number;
} {
  const colon = text.lastIndexOf(':');
  return {address: text.slice(0, colon), port: Number(text.slice(colon + 1))};
}

function isPeerAddress(text: string): boolean {
  const {address, port} = splitPeerAddress(text);
  const isPort = Number.isInteger(port) && port > 0 && port <= MAX_PORT;
  return isPort && isIP(address) !== 0;
}

/** An entry and the address on which it answers others. */
export type EntryRecord = GetType<typeof ENTRY_RECORD>;
