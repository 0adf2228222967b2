/** Leaves out the engines that are lost together with the runner. */

/** What is used of an engine. */
interface Located {
  readonly record: {readonly dataCentre: string};
}

/**
 * Returns the candidates outside a data centre, unless all targets of the service
 * are in it. A copy beside its runner takes memory and is lost with it.
 *
 * Answers the load at which no other data centre shows room for a copy: then there
 * is none for now.
 *
 * @example
 * const holders = outsideDataCentre({targets, candidates, dataCentre: 'a'});
 */
export function outsideDataCentre<T extends Located>(options: {
  /** All targets of the service. */
  targets: readonly T[];
  /** Those that have room. */
  candidates: readonly T[];
  dataCentre: string;
}): readonly T[] {
  const {targets, candidates, dataCentre} = options;
  const isOutside = ({record}: T) => record.dataCentre !== dataCentre;
  return targets.some(isOutside) ? candidates.filter(isOutside) : candidates;
}
