/** Begun streams that no target can continue, as their callers see them. */
import {connect} from 'node:net';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  API_KEY,
  HOST,
  SitePath,
  SiteService,
} from '../../stand-ins/site/config.js';
import type {StandInTarget} from '../../stand-ins/site/target.js';
import {TargetFault} from '../../stand-ins/site/target-fault.js';
import {DirectSite} from '../support/direct-site.js';

const EVENTS = 100;
const PACE = {events: EVENTS, firstMs: 10, gapMs: 10};
const ZONES = ['a', 'b', 'c'];
const DEADLINE_MS = 2_500;
const THIRD_EVENT = 'id: 3\n';

/** Answers with which another target rejects the rest of the stream. */
const REJECTIONS = [
  TargetFault.ERROR,
  TargetFault.REJECT,
  TargetFault.NO_CONTENT_LENGTH_ERROR,
  TargetFault.WRONG_ATTEMPT_ID,
  TargetFault.NO_SERVER_STAMP,
];

describe('a begun stream', () => {
  let site: DirectSite;

  beforeEach(async () => {
    site = await DirectSite.start();
    const service = SiteService.WRITERS;
    await site.addTargets(ZONES.map((zone) => ({service, zone, pace: PACE})));
  });

  afterEach(() => site.stop());

  const runner = () => site.targets.find(({runs}) => runs.length > 0)!;

  /** Crashes the target that runs the stream after its third event. */
  const loseRunner = (others: (target: StandInTarget) => void) => {
    let isLost = false;
    return (text: string) => {
      if (isLost || !text.includes(THIRD_EVENT)) return;
      isLost = true;
      const lost = runner();
      site.targets.filter((target) => target !== lost).forEach(others);
      lost.crash();
    };
  };

  it.each(REJECTIONS)(
    'shows nothing of the next target if that answers: %s',
    async (fault) => {
      const reply = await site.call({
        path: SitePath.STREAM,
        deadlineMs: DEADLINE_MS,
        onData: loseRunner((target) => (target.fault = fault)),
      });
      expect(reply).toMatchObject({status: 200, isComplete: false});
      expect(reply.text).toMatch(/^(id: \d+\ndata: piece \d+ of try-1\n\n)+$/);
    },
  );

  it('does not end as if it were complete for an HTTP/1.0 caller', async () => {
    const head = [
      `POST ${SitePath.STREAM} HTTP/1.0`,
      `Host: ${HOST}`,
      'Attempt-Id: old',
      `Deadline-Ms: ${DEADLINE_MS}`,
      `Authorization: Token ${API_KEY}`,
    ];
    const socket = connect({host: '127.0.0.1', port: site.port});
    const crashAll = loseRunner((target) => target.crash());
    let text = '';
    const wasReset = await new Promise<boolean>((resolve) => {
      socket.on('data', (chunk) => crashAll((text += String(chunk))));
      socket.on('end', () => resolve(false));
      socket.on('error', () => resolve(true));
      socket.write(`${head.join('\r\n')}\r\n\r\n`);
    });
    expect(text).toContain(THIRD_EVENT);
    expect(wasReset).toBe(true);
  });
});
