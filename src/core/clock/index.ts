/** Injectable time and randomness, so that tests can replay decisions. */
export {ManualClock} from './manual-clock.js';
export {SeededRandom, SystemRandom} from './random.js';
export {scheduleTimer} from './schedule-timer.js';
export {sleep} from './sleep.js';
export {SuspensionDetector} from './suspension-detector.js';
export {SystemClock} from './system-clock.js';
export type {Clock, RandomSource, TimerHandle} from './types.js';
