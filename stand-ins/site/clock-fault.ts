/** Preloaded module that lets the parent process step the wall clock. */

/** Message from the parent that sets the offset of the wall clock. */
export interface ClockFault {
  readonly offsetMs: number;
}

const systemNow = Date.now;
let offsetMs = 0;

Date.now = () => systemNow() + offsetMs;

process.on('message', (fault: ClockFault) => {
  offsetMs = fault.offsetMs;
});
// The program must not outlive its parent.
process.on('disconnect', () => process.exit(0));
