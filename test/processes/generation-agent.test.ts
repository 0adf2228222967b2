/** A generation loses its agent. */
import {Component} from '../support/fault-site.js';
import {describeComponentLoss} from '../support/generation-loss.js';

describeComponentLoss({lost: 'its agent', components: [Component.AGENT]});
