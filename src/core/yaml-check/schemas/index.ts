/** Schemas for each kind of value. */
export * from './list-schema.js';
export * from './named-map-schema.js';
export * from './object-schema.js';
export * from './scalar-schemas.js';
