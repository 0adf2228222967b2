/** Chooses targets for calls and generations. */
export type {CallTargetQuery} from './choose-call-target.js';
export {chooseCallTarget} from './choose-call-target.js';
export type {EngineQuery} from './choose-engine.js';
export {chooseEngine, shortlistEngines} from './choose-engine.js';
export {SHORTLIST_SIZE} from './consts.js';
export {rankByFingerprint} from './rank-by-fingerprint.js';
export type {EnginePriorityQuery} from './engine-priority.js';
export {enginePriority} from './engine-priority.js';
export {promptAffinity} from './prompt-affinity.js';
