/** The commands; each loads its implementation when it runs. */
import type {CommandFactory} from '../types.js';
import {createApplyCommand} from './apply/index.js';
import {createCallCommand} from './call/index.js';
import {createCheckCommand} from './check/index.js';
import {createCheckPlatformCommand} from './check-platform/index.js';
import {createDiffCommand} from './diff/index.js';
import {createDrainCommand} from './drain/index.js';
import {createExplainCommand} from './explain/index.js';
import {createGenerateCommand} from './generate/index.js';
import {createRouteCommand} from './route/index.js';
import {createStatusCommand} from './status/index.js';

/** All commands in the order of the help. */
export const COMMANDS: readonly CommandFactory[] = [
  createCheckCommand,
  createCheckPlatformCommand,
  createDiffCommand,
  createApplyCommand,
  createStatusCommand,
  createDrainCommand,
  createGenerateCommand,
  createCallCommand,
  createExplainCommand,
  createRouteCommand,
];
