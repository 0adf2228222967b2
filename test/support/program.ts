/** Starts built programs on free ports. */
import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';

/** A running program. */
export interface Program {
  readonly child: ChildProcess;
  readonly url: string;
  /** Resolves with the exit status when the program has ended. */
  readonly exited: Promise<number | null>;
  stop(): Promise<number | null>;
}

/** Starts a program and waits for its ready line. */
export async function startProgram(
  path: string,
  args: readonly string[] = [],
): Promise<Program> {
  const child = spawn(process.execPath, [`dist/${path}`, '--port=0', ...args], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const exited = once(child, 'exit').then(([code]) => code as number | null);
  const lines = createInterface({input: child.stdout});
  const [line] = (await once(lines, 'line')) as [string];
  const {port} = JSON.parse(line) as {port: number};
  const stop = (): Promise<number | null> => {
    child.kill('SIGTERM');
    return exited;
  };
  return {child, url: `http://127.0.0.1:${port}`, exited, stop};
}
