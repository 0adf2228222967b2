/** Merges, checks and resolves the configuration of a deployment. */
export * from './check-deployment.js';
export * from './consts.js';
export * from './merge-overlay.js';
export * from './resolve-site-config.js';
export * from './stored-config.js';
export * from './types.js';
