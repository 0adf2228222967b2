/**
 * End-to-end demonstration: starts a small site, kills the engine during a long
 * generation, checks that the response is complete, and sends a booking twice
 * with one idempotency key.
 */
import {request} from 'undici';

import {expectedOutput} from '../../stand-ins/engine/text.js';
import {DEMO_KEY, readWithResume} from '../lab/caller.js';
import {sendControl} from '../lab/lab.js';
import type {Target} from '../lab/site.js';
import {Site} from '../lab/site.js';

/** Time between two tokens of the engines, in milliseconds. */
const PACE_MS = 20;
const MAX_TOKENS = 200;
const KILL_AFTER_CHUNKS = 60;
const PROMPT = 'Pallet quote: pumice in bags, Poznań to Łódź [length=200]';

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Finds the engine that is running the generation. */
async function findBusyEngine(site: Site): Promise<Target> {
  for (const target of site.engines) {
    const url = `${target.standIn.url}/counts`;
    const counts = (await sendControl({url})) as {
      started: number;
      finished: number;
    };
    if (counts.started > counts.finished) return target;
  }
  throw new Error('no engine is running the generation');
}

/** Runs a generation, kills its engine and returns whether it was complete. */
async function runGeneration(site: Site): Promise<boolean> {
  let pendingKill: Promise<Target> | undefined;
  const transcript = await readWithResume({
    urls: site.entries.map((entry) => entry.callersUrl),
    req: {prompt: PROMPT, maxTokens: MAX_TOKENS},
    onChunk: ({chunks}) => {
      if (chunks < KILL_AFTER_CHUNKS || pendingKill !== undefined) return;
      pendingKill = findBusyEngine(site);
      void pendingKill.then((target) => target.standIn.proc.kill());
    },
  });
  const expected = expectedOutput({
    prompt: PROMPT,
    maxTokens: MAX_TOKENS,
    stop: [],
  });
  const text = expected.tokens.map((token) => token.text).join('');
  const isComplete = transcript.text === text && transcript.doneEvents === 1;
  const {arrivalsMs} = transcript;
  const gapsMs = arrivalsMs.slice(1).map((ms, i) => ms - arrivalsMs[i]!);
  const longestMs = Math.round(Math.max(...gapsMs));
  const killedEngine = await pendingKill;
  print(`generation   ${expected.tokens.length} tokens, ${PACE_MS} ms each`);
  print(`killed       ${killedEngine?.vm ?? 'none'} in the middle`);
  print(`longest gap  ${longestMs} ms at the caller`);
  print(`answer       ${isComplete ? 'whole, token by token' : 'NOT WHOLE'}`);
  return isComplete && killedEngine !== undefined;
}

/** Sends the same booking to each entry and returns whether it ran once. */
async function runBooking(site: Site): Promise<boolean> {
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
    const generated = await runGeneration(site);
    const booked = await runBooking(site);
    return generated && booked;
  } finally {
    await site.close();
  }
}

process.exitCode = (await main()) ? 0 : 1;
