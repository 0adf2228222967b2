/** Clients that do what no honest client does, in a process of their own. */
import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';

import {DIST} from '../lab/paths.js';

/** Number of clients of a crowd. */
export const CROWD_CLIENTS = 40;

/** Duration of a crowd's play, in milliseconds. */
export const CROWD_PLAY_MS = 2_000;

/** What each client of a crowd does. */
export enum ClientAct {
  /** Writes its text again and again as fast as it can, and reads nothing. */
  SEND_AHEAD = 'send_ahead',
  /** Writes its text once, and reads nothing. */
  SEND_ONCE = 'send_once',
  /** Writes its text byte by byte. */
  DRIP = 'drip',
  /** Writes its text once, and reads the answer byte by byte. */
  SIP = 'sip',
  /** Writes its text a few times, ends its side and reads nothing. */
  HALF_CLOSE = 'half_close',
}

/** A crowd of clients that all do the same. */
export interface CrowdPlan {
  readonly host: string;
  readonly port: number;
  readonly act: ClientAct;
  /** What each client writes first on each connection, as Latin-1. */
  readonly opening?: string;
  /** What each client writes, as Latin-1. */
  readonly text: string;
  /** `CROWD_CLIENTS` by default. */
  readonly clients?: number;
  /** Time after which a client resets its connection; never by default. */
  readonly resetAfterMs?: number;
  /** Duration of the play, in milliseconds; `CROWD_PLAY_MS` by default. */
  readonly playMs?: number;
}

const SCRIPT = 'tools/crowd/crowd-main.js';

/**
 * Starts a crowd and resolves at the end of its play. Its connections stay open
 * until it is stopped.
 *
 * @example
 * const crowd = await Crowd.play({host, port, act: ClientAct.SIP, text});
 * await crowd.stop();
 */
export class Crowd {
  private constructor(private readonly child: ChildProcess) {}

  static async play(plan: CrowdPlan): Promise<Crowd> {
    const script = fileURLToPath(new URL(SCRIPT, DIST));
    const child = spawn(process.execPath, [script], {
      stdio: ['pipe', 'pipe', 'inherit'],
    });
    child.stdin.end(JSON.stringify(plan));
    const hasEnded = once(child, 'exit').then(([code]) => {
      throw new Error(`a crowd ended early, with status ${code}`);
    });
    await Promise.race([once(child.stdout, 'data'), hasEnded]);
    hasEnded.catch(() => undefined);
    return new Crowd(child);
  }

  async stop(): Promise<void> {
    const exited = once(this.child, 'exit');
    this.child.kill('SIGKILL');
    await exited;
  }
}
