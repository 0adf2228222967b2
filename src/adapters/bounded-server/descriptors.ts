/** Descriptors that this process may open. */
import {readFileSync} from 'node:fs';

import {DEFAULT_DESCRIPTORS} from './consts.js';

const LIMITS_FILE = '/proc/self/limits';

/**
 * Returns how many descriptors the system allows this process.
 *
 * @example
 * const descriptors = Math.min(readDescriptorLimit(), settings.maxDescriptors);
 */
export function readDescriptorLimit(): number {
  try {
    const text = readFileSync(LIMITS_FILE, 'utf8');
    const found = /^Max open files\s+(\d+)/m.exec(text);
    return found === null ? DEFAULT_DESCRIPTORS : Number(found[1]);
  } catch {
    return DEFAULT_DESCRIPTORS;
  }
}
