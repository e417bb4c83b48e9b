import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import type { StandinEngine, StandinEngineOptions } from '../src/node/standin';

const SCRIPT = fileURLToPath(new URL('./engineProcess.ts', import.meta.url));
const RECORD_LIMIT = 1_000;

/** Starts a stand-in engine in its own process. Its run and order lists are not available here. */
export const startEngineProcess = async (options: StandinEngineOptions): Promise<StandinEngine> => {
  const text = JSON.stringify({ recordLimit: RECORD_LIMIT, ...options });
  const child = spawn(process.execPath, ['--import=tsx', SCRIPT, text], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  process.once('exit', () => child.kill('SIGKILL'));
  const [line] = (await once(child.stdout, 'data')) as [Buffer];
  return {
    address: line.toString('utf8').trim(),
    listRuns: () => [],
    listOrders: () => [],
    stop: async () => {
      const exited = once(child, 'exit');
      child.kill('SIGKILL');
      await exited;
    },
  };
};
