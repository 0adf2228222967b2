/** Checks texts of the form IP:PORT. */
import {isIP} from 'node:net';

const MAX_PORT = 65_535;

const PORT = /^\d{1,5}$/;

/** The parts of an IP:PORT. */
export interface IpEndpoint {
  readonly address: string;
  readonly port: number;
}

/**
 * Splits an IP:PORT; undefined if it is none, as connecting to it would throw.
 *
 * @example
 * parseIpEndpoint('10.0.0.7:7200'); // {address: '10.0.0.7', port: 7200}
 */
export function parseIpEndpoint(text: string): IpEndpoint | undefined {
  const colon = text.lastIndexOf(':');
  const address = text.slice(0, colon);
  const digits = text.slice(colon + 1);
  const port = Number(digits);
  const isPort = PORT.test(digits) && port > 0 && port <= MAX_PORT;
  return isPort && isIP(address) !== 0 ? {address, port} : undefined;
}
