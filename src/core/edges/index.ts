/** Interfaces to external systems; adapters implement them. */
export * from './engine-driver.js';
export * from './object-store.js';
export * from './service-driver.js';
export * from './vm-list.js';
export * from './callers.js';
export * from './operators.js';
