/** A generation loses its engine and its agent at the same time. */
import {Component} from '../support/fault-site.js';
import {describeComponentLoss} from '../support/generation-loss.js';

describeComponentLoss({
  lost: 'its engine and its agent',
  components: [Component.ENGINE, Component.AGENT],
});
