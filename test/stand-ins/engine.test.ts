import {afterEach, describe, expect, it, vi} from 'vitest';

import {HttpEngineDriver} from '../../src/adapters/index.js';
import {DriverErrorKind, FinishReason} from '../../src/core/edges/index.js';
import {startEngine} from '../../stand-ins/engine/server.js';
import {expectedOutput} from '../../stand-ins/engine/text.js';
import type {
  EngineCounts,
  EngineOptions,
} from '../../stand-ins/engine/types.js';
import {EarlyEnd} from '../../stand-ins/engine/types.js';
import type {RunningServer} from '../../stand-ins/lib/http-server.js';
import {generate, createSpec} from '../support/generation.js';
import {getJson, post} from '../support/http.js';
import type {Program} from '../support/program.js';
import {startProgram} from '../support/program.js';

const ENGINE = 'stand-ins/engine/main.js';

const FAST = {paceMs: 1, prefillUsPerToken: 0, reportLagMs: 0};

const servers: RunningServer[] = [];
const programs: Program[] = [];

async function openEngine(options: Partial<EngineOptions>): Promise<string> {
  const server = await startEngine({...FAST, ...options});
  servers.push(server);
  return server.url;
}

async function openProgram(args: readonly string[]): Promise<Program> {
  const program = await startProgram(ENGINE, ['--pace-ms=1', ...args]);
  programs.push(program);
  return program;
}

afterEach(async () => {
  await Promise.all(servers.splice(0).map((server) => server.close()));
  await Promise.all(programs.splice(0).map((program) => program.stop()));
});

describe('engine', () => {
  it('runs the waiting request with the highest priority first', async () => {
    const url = await openEngine({capacity: 1});
    const driver = new HttpEngineDriver({baseUrl: url});
    await post(`${url}/faults`, {kind: 'stall'});
    const ended: string[] = [];
    const runs = [0, 2, 1].map(async (priority) => {
      const requestId = `r${priority}`;
      await generate({driver, spec: createSpec({priority}), requestId});
      ended.push(requestId);
    });
    await vi.waitFor(() => expectRequests(url, runs.length), 10_000);
    await post(`${url}/faults`, {kind: 'none'});
    await Promise.all(runs);
    expect(ended).toEqual(['r2', 'r1', 'r0']);
  });

  it('prefills a cached prefix only once', async () => {
    const url = await openEngine({});
    const driver = new HttpEngineDriver({baseUrl: url});
    const spec = createSpec({prompt: 'x'.repeat(400), maxTokens: 32});
    const {tokens} = await generate({driver, spec});
    const first = await getJson<EngineCounts>(`${url}/counts`);
    await generate({driver, spec, resumeFrom: tokens.slice(0, 16)});
    const second = await getJson<EngineCounts>(`${url}/counts`);
    expect([first.prefillTokens, second.prefillTokens]).toEqual([100, 100]);
    expect(second.requests.map((count) => count.produced)).toEqual([32, 16]);
  });

  it('responds with an error under the fail_fast fault', async () => {
    const url = await openEngine({});
    await post(`${url}/faults`, {kind: 'fail_fast'});
    const driver = new HttpEngineDriver({baseUrl: url});
    const outcome = await generate({driver, spec: createSpec({})});
    expect(outcome.err?.kind).toBe(DriverErrorKind.REFUSED);
  });
});

async function expectRequests(url: string, length: number): Promise<void> {
  const counts = await getJson<EngineCounts>(`${url}/counts`);
  expect(counts.requests.length).toBeGreaterThanOrEqual(length);
}

const EARLY_ENDS = [
  {earlyEnd: EarlyEnd.STOP, finishReason: FinishReason.STOP},
  {earlyEnd: EarlyEnd.LENGTH, finishReason: FinishReason.LENGTH},
  {earlyEnd: EarlyEnd.NO_FINISH_REASON, finishReason: undefined},
];

describe('an engine that ends resumed generations early', () => {
  it.each(EARLY_ENDS)('reports $earlyEnd', async ({earlyEnd, finishReason}) => {
    const url = await openEngine({earlyEnd});
    const driver = new HttpEngineDriver({baseUrl: url});
    const spec = createSpec({});
    const whole = await generate({driver, spec});
    expect(whole).toEqual(expectedOutput(spec));
    const resumeFrom = whole.tokens.slice(0, 10);
    const resumed = await generate({driver, spec, resumeFrom});
    expect(resumed.tokens).toEqual(whole.tokens.slice(0, 15));
    expect(resumed.finishReason).toBe(finishReason);
  });
});

describe('the engine program', () => {
  it('exits on SIGTERM', async () => {
    const program = await openProgram([]);
    expect(await program.stop()).toBe(0);
  });

  it('crashes on a prompt with the crash text after the given tokens', async () => {
    const program = await openProgram(['--crash-on=poison']);
    const driver = new HttpEngineDriver({baseUrl: program.url});
    const other = generate({
      driver,
      spec: createSpec({prompt: '[length=1000000]', maxTokens: 1_000_000}),
    });
    const prompt = 'poison [crash-after=7]';
    const crashed = await generate({driver, spec: createSpec({prompt})});
    expect(await program.exited).toBe(1);
    expect(crashed.err?.kind).toBe(DriverErrorKind.LOST);
    expect(crashed.tokens).toHaveLength(7);
    expect((await other).err?.kind).toBe(DriverErrorKind.LOST);
  });

  it('exits on the die fault', async () => {
    const program = await openProgram([]);
    const res = post(`${program.url}/faults`, {kind: 'die'});
    await expect(res).rejects.toThrow();
    expect(await program.exited).toBe(1);
  });
});
