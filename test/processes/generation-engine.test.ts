/** The engine is lost under a generation. */
import {Victim} from '../support/fault-site.js';
import {describeLoss} from '../support/generation-loss.js';

describeLoss({loses: 'its engine', victims: [Victim.ENGINE]});
