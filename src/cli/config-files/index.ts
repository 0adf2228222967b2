/** Loads the configuration files of a deployment and compares documents. */
export * from './diff-documents.js';
export * from './load-deployment.js';
export * from './types.js';
