/** Error types and the catalogue of errors shown to users. */
export * from './catalogue.js';
export * from './refusals.js';
export * from './types.js';
