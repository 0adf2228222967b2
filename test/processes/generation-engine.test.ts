/** A generation loses its engine. */
import {Component} from '../support/fault-site.js';
import {describeComponentLoss} from '../support/generation-loss.js';

describeComponentLoss({lost: 'its engine', components: [Component.ENGINE]});
