/** Name of the tool. */
export const TOOL_NAME = 'plantainrill';

/** Exit statuses as the help shows them. */
export const EXIT_STATUS_HELP = `
Exit status:
  0  done
  1  failed
  2  bad input
  3  conflict with another operator
  4  refused`;

/** Path of generations at an entry. */
export const COMPLETIONS_PATH = '/v1/completions';

/** Path of plain services at an entry; the service's name follows. */
export const SERVICES_PATH = '/services';

/** Path of a process's status at its operators address. */
export const STATUS_PATH = '/status';

/** Path that makes a process leave. */
export const DRAIN_PATH = '/drain';

/** Time for a call to a process's operators address, in milliseconds. */
export const OPERATORS_TIMEOUT_MS = 5_000;
