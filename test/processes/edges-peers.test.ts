/** Invalid input at the peers port closes only that connection. */
import {connect} from 'node:net';

import {Encoder} from 'cbor-x';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import type {Message} from '../../src/core/protocol/index.js';
import {
  encodeFrame,
  LENGTH_BYTES,
  MAX_FRAME_BYTES,
  MessageType,
  PeerRole,
  PROTOCOL_VERSION,
  TransportErrorKind,
} from '../../src/core/protocol/index.js';
import {createTranscript, readStream} from '../../tools/lab/caller.js';
import type {Daemon} from '../../tools/lab/lab.js';
import {waitUntil} from '../../tools/lab/lab.js';
import {Site} from '../../tools/lab/site.js';
import {expectedText, readCounts, send} from '../support/callers.js';

const TOKENS = 400;

let site: Site;

beforeAll(async () => {
  site = await Site.create({
    entries: 1,
    engines: 1,
    engineFlags: {'pace-ms': 20},
  });
});

afterAll(() => site?.close());

const HELLO: Message = {
  type: MessageType.HELLO,
  protocol: PROTOCOL_VERSION,
  role: PeerRole.ENTRY,
  vm: 'stranger',
  incarnation: 'stranger-1',
  dataCentre: 'waw',
};

const CANCEL: Message = {type: MessageType.CANCEL, attemptId: 'a'};

function lengthPrefix(bytes: number): Buffer {
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(bytes);
  return length;
}

function frameOf(value: unknown): Buffer {
  const body = new Encoder({useRecords: false}).encode(value);
  return Buffer.concat([lengthPrefix(body.length), body]);
}

const GREETING = encodeFrame(HELLO);

const CASES = [
  {
    name: 'a frame over the limit',
    bytes: lengthPrefix(MAX_FRAME_BYTES + 1),
    kind: TransportErrorKind.FRAME_TOO_LARGE,
  },
  {
    name: 'a frame over the limit after the greeting',
    bytes: Buffer.concat([GREETING, lengthPrefix(0xffffffff)]),
    kind: TransportErrorKind.FRAME_TOO_LARGE,
  },
  {
    name: 'invalid CBOR',
    bytes: Buffer.concat([
      GREETING,
      lengthPrefix(2),
      Buffer.from([0x5a, 0xff]),
    ]),
    kind: TransportErrorKind.BAD_CBOR,
  },
  {
    name: 'an empty frame',
    bytes: Buffer.concat([GREETING, lengthPrefix(0)]),
    kind: TransportErrorKind.BAD_CBOR,
  },
  {
    name: 'a message of an unknown type',
    bytes: Buffer.concat([GREETING, frameOf({type: 'nonsense'})]),
    kind: TransportErrorKind.BAD_MESSAGE,
  },
  {
    name: 'a message with a field of the wrong type',
    bytes: Buffer.concat([GREETING, frameOf({...CANCEL, attemptId: 7})]),
    kind: TransportErrorKind.BAD_MESSAGE,
  },
  {
    name: 'a command before the greeting',
    bytes: encodeFrame(CANCEL),
    kind: TransportErrorKind.BAD_HELLO,
  },
  {
    name: 'another protocol version',
    bytes: encodeFrame({...HELLO, protocol: PROTOCOL_VERSION + 1}),
    kind: TransportErrorKind.WRONG_PROTOCOL,
  },
  {
    name: 'an unknown role',
    bytes: frameOf({...HELLO, role: 'router'}),
    kind: TransportErrorKind.BAD_MESSAGE,
  },
  {
    name: 'HTTP',
    bytes: Buffer.from('GET / HTTP/1.1\r\nhost: agent\r\n\r\n'),
    kind: TransportErrorKind.FRAME_TOO_LARGE,
  },
  {
    name: 'no data',
    bytes: Buffer.alloc(0),
    kind: TransportErrorKind.HELLO_TIMEOUT,
  },
  {
    name: 'half a frame',
    bytes: Buffer.concat([lengthPrefix(1_000), Buffer.alloc(10)]),
    kind: TransportErrorKind.HELLO_TIMEOUT,
  },
];

/** Sends bytes to a process's peers port and waits until it disconnects. */
function sendBytes(port: number, bytes: Buffer): Promise<void> {
  return new Promise((resolve) => {
    const socket = connect({host: '127.0.0.1', port});
    socket.on('error', () => undefined);
    socket.on('close', () => resolve());
    socket.resume();
    socket.write(bytes);
  });
}

async function countClosed(
  process: Daemon,
  kind: TransportErrorKind,
): Promise<number> {
  const url = `${process.operatorsUrl}/metrics`;
  const {text} = await send({url, method: 'GET'});
  const prefix = `plantainrill_connections_closed_total{label="${kind}"} `;
  const found = text.split('\n').find((row) => row.startsWith(prefix));
  return Number(found?.slice(prefix.length));
}

describe.each(['entry', 'agent'])('the peers port of an %s', (role) => {
  const findProcess = (): Daemon =>
    role === 'entry' ? site.entries[0]! : site.engines[0]!.agent;

  it.each(CASES)('closes on $name, with its reason', async (row) => {
    const before = await countClosed(findProcess(), row.kind);
    await sendBytes(findProcess().peersPort, row.bytes);
    expect(await countClosed(findProcess(), row.kind)).toBe(before + 1);
    expect(findProcess().proc.isRunning).toBe(true);
  });
});

describe('a generation in flight', () => {
  it('is unaffected by invalid input on other connections', async () => {
    const before = await readCounts(site);
    const transcript = createTranscript();
    const prompt = `Unharmed [length=${TOKENS}]`;
    const reading = readStream({
      url: site.entries[0]!.callersUrl,
      req: {prompt, maxTokens: TOKENS},
      transcript,
    });
    await waitUntil({
      what: 'the generation has started',
      check: () => Promise.resolve(transcript.chunks > 0),
    });
    const ports = [site.entries[0]!, site.engines[0]!.agent];
    await Promise.all(
      ports.flatMap(({peersPort}) =>
        CASES.map(({bytes}) => sendBytes(peersPort, bytes)),
      ),
    );
    expect(transcript.doneEvents).toBe(0);
    await reading;
    expect(transcript.text).toBe(expectedText(prompt, TOKENS));
    expect([transcript.doneEvents, transcript.errors]).toEqual([1, []]);
    const after = await readCounts(site);
    expect(after.tokens - before.tokens).toBe(TOKENS);
    expect(after.generations - before.generations).toBe(1);
  });
});
