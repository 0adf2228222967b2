/** What people and programs are shown. */
export * from './report-error.js';
export * from './table.js';
