/** The engine and the agent are lost under a generation at once. */
import {Component} from '../support/fault-site.js';
import {describeComponentLoss} from '../support/generation-loss.js';

describeComponentLoss({
  lost: 'its engine and its agent',
  components: [Component.ENGINE, Component.AGENT],
});
