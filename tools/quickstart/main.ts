/**
 * Shows the whole path: starts a small site, kills the engine under a long
 * generation, checks the answer whole, and books twice under one key.
 */
import {request} from 'undici';

import {expectedOutput} from '../../stand-ins/engine/text.js';
import {DEMO_KEY, readWhole} from '../lab/caller.js';
import {sendControl} from '../lab/lab.js';
import type {Target} from '../lab/site.js';
import {Site} from '../lab/site.js';

const PACE_MS = 20;
const MAX_TOKENS = 200;
const KILL_AFTER_PIECES = 60;
const PROMPT = 'Pallet quote: pumice in bags, Poznań to Łódź [length=200]';

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

async function findWorkingEngine(site: Site): Promise<Target> {
  for (const target of site.engines) {
    const url = `${target.standIn.url}/counts`;
    const counts = (await sendControl({url})) as {
      started: number;
      finished: number;
    };
    if (counts.started > counts.finished) return target;
  }
  throw new Error('no engine works on the generation');
}

async function showGeneration(site: Site): Promise<boolean> {
  let killed: Promise<Target> | undefined;
  const transcript = await readWhole({
    urls: site.entries.map((entry) => entry.callersUrl),
    ask: {prompt: PROMPT, maxTokens: MAX_TOKENS},
    onPiece: ({pieces}) => {
      if (pieces < KILL_AFTER_PIECES || killed !== undefined) return;
      killed = findWorkingEngine(site);
      void killed.then((target) => target.standIn.proc.kill());
    },
  });
  const answer = expectedOutput({
    prompt: PROMPT,
    maxTokens: MAX_TOKENS,
    stop: [],
  });
  const text = answer.tokens.map((token) => token.text).join('');
  const whole = transcript.text === text && transcript.ends === 1;
  const {arrivalsMs} = transcript;
  const gapsMs = arrivalsMs.slice(1).map((ms, i) => ms - arrivalsMs[i]!);
  const longestMs = Math.round(Math.max(...gapsMs));
  const victim = await killed;
  print(`generation   ${answer.tokens.length} tokens, ${PACE_MS} ms each`);
  print(`killed       ${victim?.vm ?? 'none'} in the middle`);
  print(`longest gap  ${longestMs} ms at the caller`);
  print(`answer       ${whole ? 'whole, token by token' : 'NOT WHOLE'}`);
  return whole && victim !== undefined;
}

async function showBooking(site: Site): Promise<boolean> {
  const key = 'quickstart-1';
  const statuses: number[] = [];
  for (const entry of site.entries) {
    const res = await request(`${entry.callersUrl}/services/orders/bookings`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${DEMO_KEY}`,
        'content-type': 'application/json',
        'idempotency-key': key,
      },
      body: JSON.stringify({pallets: 3}),
    });
    await res.body.dump();
    statuses.push(res.statusCode);
  }
  const url = `${site.ledger.url}/counts`;
  const {perKey} = (await sendControl({url})) as {
    perKey: Array<{key: string; count: number}>;
  };
  const ran = perKey.find((row) => row.key === key)?.count ?? 0;
  print(
    `booking      sent twice under one key, answers ${statuses.join(', ')}`,
  );
  print(`ran          ${ran} time(s) at the service`);
  return ran === 1;
}

async function main(): Promise<boolean> {
  print('starting two entries and four agents in two data centres');
  const site = await Site.create({
    entries: 2,
    engines: 2,
    orders: 1,
    stock: 1,
    engineFlags: {'pace-ms': PACE_MS},
  });
  try {
    const generated = await showGeneration(site);
    const booked = await showBooking(site);
    return generated && booked;
  } finally {
    await site.close();
  }
}

process.exitCode = (await main()) ? 0 : 1;
