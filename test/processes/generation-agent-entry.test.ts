/** The agent and the entry are lost under a generation at once. */
import {expect} from 'vitest';

import {Fault, Moment, Victim} from '../support/fault-site.js';
import {describeLoss} from '../support/generation-loss.js';

describeLoss({
  loses: 'its agent and its entry',
  victims: [Victim.AGENT, Victim.ENTRY],
  checkRestarts: ({restarts}, {fault, moment}) => {
    // An entry that is cut off from callers still has its copy for others.
    const isLost = fault !== Fault.CUT;
    const isSeen = moment === Moment.MIDDLE || moment === Moment.BEFORE_FINAL;
    if (!isLost) expect(restarts).toBe(0);
    else if (isSeen) expect(restarts).toBeGreaterThan(0);
  },
});
