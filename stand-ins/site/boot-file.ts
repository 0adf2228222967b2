/** Settings file of an entry in the format of the platform. */

const CALLERS_PORT = 8_080;
const READINESS_PORT = 8_081;

/** First and last port for connections between entries. */
export const FIRST_PEER_PORT = 7_200;
const LAST_PEER_PORT = 7_215;

/** Settings that differ between entries. */
export interface BootFileOptions {
  readonly name: string;
  /** Address to listen on; used by no other entry. */
  readonly address: string;
  readonly zone: string;
  /** HOST:PORT of the store. */
  readonly store: string;
  /** Limits by their names in the file, such as `grace_s`. */
  readonly bounds: Readonly<Record<string, number | boolean>>;
}

/** Host and port at which an entry with this address accepts callers. */
export function callersEndpointOf(address: string): {
  host: string;
  port: number;
} {
  return {host: address, port: CALLERS_PORT};
}

/** HOST:PORT of the readiness endpoint of an entry with this address. */
export function readinessAddressOf(address: string): string {
  return `${address}:${READINESS_PORT}`;
}

/**
 * Returns the content of a settings file. Written as JSON, it is valid YAML.
 *
 * @example
 * writeFileSync(path, JSON.stringify(bootFile(options)));
 */
export function bootFile(options: BootFileOptions) {
  const {name, address, zone, store, bounds} = options;
  const {host, port} = callersEndpointOf(address);
  return {
    node_name: name,
    ip: address,
    zone,
    listen: {
      frontend: `${host}:${port}`,
      readiness: readinessAddressOf(address),
    },
    port_range: [FIRST_PEER_PORT, LAST_PEER_PORT],
    bounds,
    platform: {address: store},
  };
}
