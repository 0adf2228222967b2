/** HTTP calls to the processes of a deployment. */
export * from './call-http.js';
export * from './problem-document.js';
export * from './types.js';
