import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import test from 'ava';
import { SIGNAL_EXIT_CODES } from '..';

const PROCESS_INDEX = fileURLToPath(new URL('../index.ts', import.meta.url));

// The stop takes long enough for a second signal to arrive.
const PROGRAM = `
  import { registerSignals } from ${JSON.stringify(PROCESS_INDEX)};
  registerSignals(() => new Promise((resolve) => setTimeout(resolve, 500)));
  setInterval(() => {}, 1000);
  console.log('ready');
`;

const cases = [
  { name: 'one SIGTERM', signals: ['SIGTERM'], code: SIGNAL_EXIT_CODES.ok },
  { name: 'a second SIGTERM', signals: ['SIGTERM', 'SIGTERM'], code: SIGNAL_EXIT_CODES.ok },
  { name: 'a second SIGINT', signals: ['SIGINT', 'SIGINT'], code: SIGNAL_EXIT_CODES.interrupted },
] as const;

for (const { name, signals, code } of cases) {
  test(`the stop of a process: ${name}`, async (t) => {
    const child = spawn(process.execPath, ['--import=tsx', '--input-type=module', '-e', PROGRAM]);
    const exited = once(child, 'exit');
    await once(child.stdout, 'data');
    for (const signal of signals) {
      child.kill(signal);
      await sleep(100);
    }
    t.deepEqual(await exited, [code, null]);
  });
}
