/** Losses of targets under requests, as an entry shares them with others. */
import {array, boolean, Codec, string} from 'purify-ts';
import type {GetType} from 'purify-ts';

const RECORDED_LOSS = Codec.interface({
  /** Fingerprint of the request. */
  request: string,
  /** Identifier of the lost incarnation of the target. */
  life: string,
  /** Whether diagnosis has ended and found no cause other than the request. */
  isSettled: boolean,
});

/** Codec of the object that holds the losses of one entry, under its VM. */
export const RECORDED_LOSSES = Codec.interface({
  losses: array(RECORDED_LOSS),
  /**
   * Fingerprints of requests that were served completely after other entries
   * had recorded losses under them.
   */
  harmless: array(string),
});

/** One target that was lost under a request. */
export type RecordedLoss = GetType<typeof RECORDED_LOSS>;

/** All recorded losses of one entry. */
export type RecordedLosses = GetType<typeof RECORDED_LOSSES>;
