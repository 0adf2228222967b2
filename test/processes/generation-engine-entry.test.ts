/** The engine and the entry are lost under a generation at once. */
import {Component} from '../support/fault-site.js';
import {describeComponentLoss} from '../support/generation-loss.js';

describeComponentLoss({
  lost: 'its engine and its entry',
  components: [Component.ENGINE, Component.ENTRY],
});
