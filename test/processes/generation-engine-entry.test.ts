/** A generation loses its engine and its entry at the same time. */
import {Component} from '../support/fault-site.js';
import {describeComponentLoss} from '../support/generation-loss.js';

describeComponentLoss({
  lost: 'its engine and its entry',
  components: [Component.ENGINE, Component.ENTRY],
});
