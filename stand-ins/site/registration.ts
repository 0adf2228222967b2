/** Registrations of stand-in targets in the store. */

/** Start of the first incarnation of a target, as a Unix time in milliseconds. */
export const DEFAULT_BORN_MS = 1_000;

/**
 * Returns the registration of a target in the store.
 *
 * @example
 * const spec = registrationOf({service: 'desk', zone: 'a', address});
 */
export function registrationOf(options: {
  service: string;
  zone: string;
  address: string;
  state?: string;
  /** Start of the incarnation as a Unix time in milliseconds. */
  bornMs?: number;
  /** Version of its software. */
  version?: string;
}) {
  const {service, zone, address, state = 'ready'} = options;
  const {bornMs = DEFAULT_BORN_MS, version = 'v1'} = options;
  return {
    service,
    zone,
    address,
    state,
    version,
    slots: 8,
    warmup_left_ms: 0,
    sequence: 1,
    born: bornMs,
  };
}
