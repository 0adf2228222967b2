import {formatTable} from '../../output/index.js';
import type {Plan, PlanCandidate} from './plan-codec.js';

const HEADER = [
  '',
  'target',
  'state',
  'data centre',
  'version',
  'requests',
  'slots',
  'slowness',
  'failures',
  'report age',
  'limit/s',
  'tokens',
  'prompt',
];

const NOTHING = '-';
const CHOSEN = '>';
const PERCENT = 100;

/** Formats a plan as text: what would happen, then the targets in order. */
export function formatPlan(plan: Plan): string {
  const lines = [
    `configuration ${plan.config}`,
    `route         ${formatRoute(plan)}`,
    `service       ${formatService(plan)}`,
    `account       ${plan.clientAccount ?? NOTHING}, priority ${plan.priority ?? NOTHING}`,
    `now           ${formatDecision(plan)}`,
  ];
  const text = `${lines.join('\n')}\n`;
  if (plan.candidates.length === 0) return text;
  const rows = plan.candidates.map(formatCandidate);
  return `${text}\n${formatTable({header: HEADER, rows})}`;
}

function formatRoute({route, operation, limitMs}: Plan): string {
  if (route === undefined) return 'none matches';
  const limit = limitMs === undefined ? '' : `, ${Math.round(limitMs)} ms`;
  return operation === undefined ? route : `${route} (${operation}${limit})`;
}

function formatService({service, shares}: Plan): string {
  if (service === undefined) return NOTHING;
  if (shares.length < 2) return service;
  const all = shares.map((share) => `${share.service} ${share.weight}`);
  return `${service}, the heaviest of ${all.join(', ')}`;
}

function formatDecision({decision}: Plan): string {
  const {outcome, before, detail, reason, status, retryAfterMs} = decision;
  const parts = [
    reason === undefined ? outcome : `${outcome}: ${reason}, status ${status}`,
    detail,
    before > 0 ? `${before} go first` : undefined,
    retryAfterMs === undefined ? undefined : `retry after ${retryAfterMs} ms`,
  ];
  return parts.filter((part) => part !== undefined).join(', ');
}

function formatCandidate(candidate: PlanCandidate): string[] {
  const {reportAgeMs, failureShare, slowness, requests} = candidate;
  return [
    candidate.isChosen ? CHOSEN : '',
    candidate.id,
    candidate.state,
    candidate.dataCentre,
    candidate.version ?? NOTHING,
    requests.toFixed(1),
    `${candidate.slots}`,
    slowness.toFixed(2),
    `${Math.round(failureShare * PERCENT)}%`,
    reportAgeMs === undefined ? NOTHING : `${reportAgeMs} ms`,
    `${candidate.limitPerSecond ?? NOTHING}`,
    `${candidate.plannedTokens ?? NOTHING}`,
    `${candidate.promptAdvantage ?? NOTHING}`,
  ];
}
