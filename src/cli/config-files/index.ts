/** Loads a deployment's files and compares them with the accepted ones. */
export * from './diff-documents.js';
export * from './load-deployment.js';
export * from './types.js';
