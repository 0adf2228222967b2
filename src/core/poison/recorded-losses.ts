/** Losses of targets that ran a request, as an entry publishes them. */
import {array, boolean, Codec, number, optional, string} from 'purify-ts';

/** The request that lost a target, if the loss counts against a prompt part. */
export interface PartLoss {
  /** Fingerprint of the request. */
  readonly by: string;
  /** Index of the part in the prompt of the request. */
  readonly position: number;
}

/** A target that was lost while it ran a request. */
export interface RecordedLoss {
  /** Fingerprint of the request, or key of the prompt part. */
  readonly request: string;
  /** Identifier of the lost target incarnation. */
  readonly life: string;
  /** Whether diagnosis has ended and found no cause other than the request. */
  readonly isSettled: boolean;
  /** Present if the loss counts against a prompt part. */
  readonly part?: PartLoss;
}

/** What one entry has recorded. */
export interface RecordedLosses {
  readonly losses: RecordedLoss[];
  /**
   * Requests and prompt parts that this entry served although other entries had
   * recorded losses of them.
   */
  readonly harmless: string[];
}

const PART_LOSS: Codec<PartLoss> = Codec.interface({
  by: string,
  position: number,
});

const RECORDED_LOSS = Codec.interface({
  request: string,
  life: string,
  isSettled: boolean,
  part: optional(PART_LOSS),
});

/** Codec of the stored object of one entry, which the entry's VM names. */
export const RECORDED_LOSSES = Codec.interface({
  losses: array(RECORDED_LOSS),
  harmless: array(string),
});
