/** Records faults in the history, for the checks after a run. */
import type {PlannedFault} from './plan.js';
import type {SoakSite} from './site.js';
import type {PlannedStartFault} from './start-plan.js';
import type {PlannedWireFault} from './wire-plan.js';

/** A planned fault and the site into which it is injected. */
export interface FaultScope {
  readonly site: SoakSite;
  readonly planned: PlannedFault | PlannedStartFault | PlannedWireFault;
}

/**
 * Injects a fault and records its components, its start and its end.
 *
 * @example
 * const components = [entryComponent(entry.name)];
 * await withRecordedFault({site, planned, components}, () => entry.kill());
 */
export async function withRecordedFault(
  {site, planned, components}: FaultScope & {components: readonly string[]},
  inject: () => Promise<void>,
): Promise<void> {
  const fromMs = Date.now();
  const kind = planned.kind;
  const faults = components.map((part) => ({
    part,
    kind,
    fromMs,
    toMs: Infinity,
  }));
  site.history.disturbances.push(...faults);
  await inject();
  const toMs = Date.now();
  for (const fault of faults) fault.toMs = toMs;
}
