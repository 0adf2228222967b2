/** What an entry tells the others of the targets that requests lost. */
import {array, boolean, Codec, string} from 'purify-ts';
import type {GetType} from 'purify-ts';

const RECORDED_LOSS = Codec.interface({
  /** Fingerprint of the request. */
  request: string,
  /** Life of the target, as `lifeOf` names it. */
  life: string,
  /** No other cause of the loss was found; else it is not known yet. */
  isSettled: boolean,
});

/** What the object store holds of one entry's losses, under its VM. */
export const RECORDED_LOSSES = Codec.interface({
  losses: array(RECORDED_LOSS),
  /** Fingerprints of requests that ended well after others had lost targets. */
  harmless: array(string),
});

/** One target that was lost under a request. */
export type RecordedLoss = GetType<typeof RECORDED_LOSS>;

/** All that one entry has to tell. */
export type RecordedLosses = GetType<typeof RECORDED_LOSSES>;
