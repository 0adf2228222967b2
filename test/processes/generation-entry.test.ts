/** A generation loses its entry. */
import {Component} from '../support/fault-site.js';
import {describeComponentLoss} from '../support/generation-loss.js';

describeComponentLoss({lost: 'its entry', components: [Component.ENTRY]});
