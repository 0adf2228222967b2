/** Error shapes and the catalogue of what people are told. */
export * from './refusals.js';
export * from './types.js';
