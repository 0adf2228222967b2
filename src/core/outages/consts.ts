/** Time for which registrations that were read are used, in milliseconds. */
export const STARTS_CACHE_MS = 250;
