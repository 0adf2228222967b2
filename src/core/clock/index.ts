/** Injected time and randomness, so that decisions can be replayed. */
export {ManualClock} from './manual-clock.js';
export {SeededRandom, SystemRandom} from './random.js';
export {sleep} from './sleep.js';
export {SystemClock} from './system-clock.js';
export type {Clock, RandomSource, TimerHandle} from './types.js';
