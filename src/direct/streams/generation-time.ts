/** Compares a stream with the shortest generation times of its service. */
import type {DirectContext, DirectWork} from '../context.js';
import {toGenerationNeed} from './min-generation-times.js';

/**
 * Whether the remaining time is too short for any engine.
 *
 * @example
 * if (cannotMeetDeadline({ctx, work})) refuse();
 */
export function cannotMeetDeadline(options: {
  ctx: DirectContext;
  work: DirectWork;
}): boolean {
  const {ctx, work} = options;
  const {req, service, deadlineAtMs} = work;
  const need = toGenerationNeed(req, service);
  if (need === undefined) return false;
  const leftMs = deadlineAtMs - ctx.clock.now();
  return ctx.minGenerationTimes
    .forService(service.name)
    .cannotFinish({need, leftMs});
}

/**
 * Records how long a stream took that began with its first event and was not
 * started anew.
 *
 * @example
 * recordGenerationTime({ctx, work, events: 40, firstEventMs: 900});
 */
export function recordGenerationTime(options: {
  ctx: DirectContext;
  work: DirectWork;
  /** Number of its events. */
  events: number;
  /** Time until its first event, in milliseconds. */
  firstEventMs: number;
}): void {
  const {ctx, work, events, firstEventMs} = options;
  const {req, service} = work;
  const need = toGenerationNeed(req, service);
  if (need === undefined || need.receivedEvents > 0) return;
  const totalMs = ctx.clock.now() - req.receivedMs;
  const streamingMs = totalMs - firstEventMs;
  ctx.minGenerationTimes
    .forService(service.name)
    .addSample({...need, events, firstEventMs, streamingMs});
}
