/** Name of the tool. */
export const TOOL_NAME = 'plantainrill';

/** Exit statuses, as shown in the help. */
export const EXIT_STATUS_HELP = `
Exit status:
  0  done
  1  failed
  2  bad input
  3  conflict with another operator
  4  refused`;

/** Environment variable with the key of a client account. */
export const KEY_VARIABLE = 'PLANTAINRILL_KEY';

/** Path for generations at an entry. */
export const COMPLETIONS_PATH = '/v1/completions';

/** Path for plain services at an entry; followed by the service's name. */
export const SERVICES_PATH = '/services';

/** Path of a process's status at its operators address. */
export const STATUS_PATH = '/status';

/** Path at the metrics address of a direct entry that tells a request's route. */
export const ROUTE_PATH = '/route';

/** Path that starts the graceful shutdown of a process. */
export const DRAIN_PATH = '/drain';

/** Timeout of a call to a process's operators address, in milliseconds. */
export const OPERATORS_TIMEOUT_MS = 5_000;
