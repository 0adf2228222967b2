/** A generation loses its agent and its entry at the same time. */
import {expect} from 'vitest';

import {Fault, FaultStage, Component} from '../support/fault-site.js';
import {describeComponentLoss} from '../support/generation-loss.js';

describeComponentLoss({
  lost: 'its agent and its entry',
  components: [Component.AGENT, Component.ENTRY],
  checkRestarts: ({restarts}, {fault, stage}) => {
    // An entry that callers cannot reach still provides its copy of the output
    // to other entries.
    const isCopyLost = fault !== Fault.DISCONNECT;
    const isRestartCertain =
      stage === FaultStage.MIDDLE || stage === FaultStage.BEFORE_FINAL_EVENT;
    if (!isCopyLost) expect(restarts).toBe(0);
    else if (isRestartCertain) expect(restarts).toBeGreaterThan(0);
  },
});
