/** The chance of many bad answers by accident. */

/** Terms below this part of the first one are left out. */
const MIN_TERM_PART = 1e-6;

/**
 * Returns the probability of at least `bad` bad answers of `answers`, each bad
 * with probability `share`.
 *
 * @example
 * binomialTail({answers: 10, bad: 10, share: 0.5}); // 0.5 ** 10
 */
export function binomialTail(options: {
  answers: number;
  bad: number;
  share: number;
}): number {
  const {answers, bad, share} = options;
  if (bad <= answers * share) return 1;
  let term = Math.exp(logTerm(options));
  const firstTerm = term;
  let sum = 0;
  for (let k = bad; k <= answers && term > firstTerm * MIN_TERM_PART; k++) {
    sum += term;
    term *= ((answers - k) / (k + 1)) * (share / (1 - share));
  }
  return Math.min(1, sum);
}

/** Logarithm of the probability of exactly `bad` bad answers. */
function logTerm(options: {
  answers: number;
  bad: number;
  share: number;
}): number {
  const {answers, bad, share} = options;
  let sum = bad * Math.log(share) + (answers - bad) * Math.log(1 - share);
  for (let i = 1; i <= bad; i++) sum += Math.log((answers - bad + i) / i);
  return sum;
}
