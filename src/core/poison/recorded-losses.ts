/** Losses of targets that ran a request, as an entry publishes them. */
import {array, boolean, Codec, string} from 'purify-ts';
import type {GetType} from 'purify-ts';

const RECORDED_LOSS = Codec.interface({
  /** Fingerprint of the request. */
  request: string,
  /** Identifier of the lost target incarnation. */
  life: string,
  /** Whether diagnosis has ended and found no cause other than the request. */
  isSettled: boolean,
});

/** Codec of the stored object of one entry, which the entry's VM names. */
export const RECORDED_LOSSES = Codec.interface({
  losses: array(RECORDED_LOSS),
  /**
   * Fingerprints of requests that this entry served completely although other
   * entries had recorded losses of them.
   */
  harmless: array(string),
});

/** A target that was lost while it ran a request. */
export type RecordedLoss = GetType<typeof RECORDED_LOSS>;

/** What one entry has recorded. */
export type RecordedLosses = GetType<typeof RECORDED_LOSSES>;
