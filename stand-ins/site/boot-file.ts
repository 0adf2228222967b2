/** Settings of an entry, as the platform writes them. */

const CALLERS_PORT = 8_080;
const READINESS_PORT = 8_081;

/** What differs between entries. */
export interface BootFileOptions {
  readonly name: string;
  /** Address on which only this entry listens. */
  readonly address: string;
  readonly zone: string;
  /** HOST:PORT of the store. */
  readonly store: string;
  readonly bounds: Readonly<Record<string, number | boolean>>;
}

/** Where an entry that was started with `bootFile` serves callers. */
export function callersEndpointOf(address: string): {
  host: string;
  port: number;
} {
  return {host: address, port: CALLERS_PORT};
}

/** Where such an entry tells whether it is ready, as HOST:PORT. */
export function readinessAddressOf(address: string): string {
  return `${address}:${READINESS_PORT}`;
}

/**
 * The document of a settings file; JSON is YAML too.
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
    bounds,
    platform: {address: store},
  };
}
