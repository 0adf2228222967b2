/** Checks YAML against declared schemas and reports all problems at once. */
export * from './check-node.js';
export * from './format.js';
export * from './load-yaml.js';
export * from './merge-nodes.js';
export * from './nodes.js';
export * from './schemas/index.js';
export * from './types.js';
