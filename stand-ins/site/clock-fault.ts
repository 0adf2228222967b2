/** Loaded before a program, so that its parent can step its wall clock. */

/** Sent by the parent: from now on the wall clock is off by this much. */
export interface ClockFault {
  readonly offsetMs: number;
}

const trueNow = Date.now;
let offsetMs = 0;

Date.now = () => trueNow() + offsetMs;

process.on('message', (fault: ClockFault) => {
  offsetMs = fault.offsetMs;
});
// The program must not outlive the process that watches it.
process.on('disconnect', () => process.exit(0));
