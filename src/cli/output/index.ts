/** Formats the output of the commands. */
export * from './report-error.js';
export * from './table.js';
