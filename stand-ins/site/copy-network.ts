/** Copies of KV caches between stand-in targets. */
import {request} from 'undici';

import type {StandInTarget} from './target.js';

/** Timeout of storing a KV cache copy at another target, in milliseconds. */
const COPY_TIMEOUT_MS = 1_000;

/** Path where targets of other processes store KV cache copies. */
export const COPIES_PATH = '/stand-in/copies';

/** Stores copies of KV caches at other targets. */
export interface CopyNetwork {
  /** Resolves to whether the target at the address stored the copy. */
  storeCopy(address: string, copyId: string): Promise<boolean>;
}

/** Copies KV caches between targets of one process. */
export class LocalCopyNetwork implements CopyNetwork {
  readonly targetsByAddress = new Map<string, StandInTarget>();

  storeCopy(address: string, copyId: string): Promise<boolean> {
    const holder = this.targetsByAddress.get(address);
    if (holder === undefined || holder.isUnresponsive)
      return Promise.resolve(false);
    holder.copies.add(copyId);
    return Promise.resolve(true);
  }
}

/** Copies KV caches to targets of other processes over HTTP. */
export class RemoteCopyNetwork implements CopyNetwork {
  async storeCopy(address: string, copyId: string): Promise<boolean> {
    const url = `http://${address}${COPIES_PATH}/${copyId}`;
    const options = {method: 'PUT', headersTimeout: COPY_TIMEOUT_MS} as const;
    try {
      const {statusCode, body} = await request(url, options);
      await body.dump();
      return statusCode === 200;
    } catch {
      // The other target is unreachable, so the copy is not stored.
      return false;
    }
  }
}
