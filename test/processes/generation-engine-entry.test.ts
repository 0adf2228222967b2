/** The engine and the entry are lost under a generation at once. */
import {Victim} from '../support/fault-site.js';
import {describeLoss} from '../support/generation-loss.js';

describeLoss({
  loses: 'its engine and its entry',
  victims: [Victim.ENGINE, Victim.ENTRY],
});
