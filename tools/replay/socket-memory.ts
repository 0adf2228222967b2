/** Memory that the kernel holds for the sockets of an address. */
import {execFile} from 'node:child_process';
import {promisify} from 'node:util';

const BYTES_PER_MB = 1_048_576;
const MAX_OUTPUT_BYTES = 16 * BYTES_PER_MB;

/** Received, queued for sending, and reserved bytes of a socket. */
const SOCKET = /skmem:\(r(\d+),rb\d+,t\d+,tb\d+,f(\d+),w(\d+)/g;

const execute = promisify(execFile);

/**
 * Sums the memory of all TCP sockets bound to a local address, in MB.
 *
 * @example
 * const mb = await readSocketMemoryMb('127.20.0.10');
 */
export async function readSocketMemoryMb(address: string): Promise<number> {
  const argv = ['-tmnH', 'src', address];
  const {stdout} = await execute('ss', argv, {maxBuffer: MAX_OUTPUT_BYTES});
  let bytes = 0;
  for (const [, received, reserved, queued] of stdout.matchAll(SOCKET))
    bytes += Number(received) + Number(reserved) + Number(queued);
  return bytes / BYTES_PER_MB;
}
