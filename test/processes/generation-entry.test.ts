/** The entry is lost under a generation. */
import {Victim} from '../support/fault-site.js';
import {describeLoss} from '../support/generation-loss.js';

describeLoss({loses: 'its entry', victims: [Victim.ENTRY]});
