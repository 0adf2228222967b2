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

/** The prompt of a lost request that has many parts. */
export interface RecordedPrompt {
  /** Fingerprint of the request. */
  readonly request: string;
  /** Digest of the parts that may have crashed its targets, in Base64. */
  readonly parts: string;
}

/** What one entry has recorded. */
export interface RecordedLosses {
  readonly losses: RecordedLoss[];
  /** Prompts with more parts than losses are recorded for; none by default. */
  readonly prompts?: RecordedPrompt[];
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

const RECORDED_PROMPT: Codec<RecordedPrompt> = Codec.interface({
  request: string,
  parts: string,
});

/** Codec of the stored object of one entry, which the entry's VM names. */
export const RECORDED_LOSSES = Codec.interface({
  losses: array(RECORDED_LOSS),
  prompts: optional(array(RECORDED_PROMPT)),
  harmless: array(string),
});
