/** The choice of a target for a request. */
export {TwoChoices} from './two-choices.js';
export type {ChoiceQuery, TargetChooser, TargetView} from './types.js';
