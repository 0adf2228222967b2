/** A deployment's files and how they differ from what is accepted. */
export * from './diff-documents.js';
export * from './load-deployment.js';
export * from './types.js';
