/** Error shapes and the catalogue of what people are told. */
export * from './catalogue.js';
export * from './refusals.js';
export * from './types.js';
