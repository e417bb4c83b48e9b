import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream, existsSync, mkdirSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

const FOLDER = dirname(fileURLToPath(import.meta.url));
const BINARY = join(FOLDER, '..', 'dist', 'oleanderfront');
const DATA = join(FOLDER, 'data');
const CONTROL = '127.0.0.1:7301,127.0.0.1:7302,127.0.0.1:7303';
const OPERATOR_OPTIONS = ['--control', CONTROL, '--secret-file', join(FOLDER, 'operator-secret')];

interface StartedProcess {
  readonly name: string;
  readonly child: ChildProcess;
}

const started: StartedProcess[] = [];
let isStopping = false;

const stopAll = async (): Promise<void> => {
  if (isStopping) return;
  isStopping = true;
  // Stops entries first, then agents, so that each can finish its requests. Control follows. The
  // stand-ins stop last.
  for (const role of ['entry', 'agent', 'control', '']) {
    const own = started.filter(({ name, child }) => {
      const isRole = role === '' ? !/^(entry|agent|control)/.test(name) : name.startsWith(role);
      return isRole && child.exitCode === null && child.signalCode === null;
    });
    own.forEach(({ child }) => child.kill('SIGTERM'));
    await Promise.all(own.map(({ child }) => once(child, 'exit')));
  }
};

// Each child runs in its own process group. Ctrl-C does not reach it, so that `stopAll` controls
// the order.
const startProcess = async (name: string, command: string, args: readonly string[]) => {
  const child = spawn(command, args, { stdio: ['ignore', 'pipe', 'pipe'], detached: true });
  started.push({ name, child });
  child.stderr.pipe(createWriteStream(join(DATA, `${name}.log`), { flags: 'a' }));
  const lines = createInterface({ input: child.stdout });
  const ready = once(lines, 'line');
  const ended = once(child, 'exit').then(([code, signal]) => {
    if (isStopping) return;
    throw new Error(
      `${name} exited with ${String(code ?? signal)}; see playground/data/${name}.log`,
    );
  });
  ended.catch((cause: Error) => {
    process.stderr.write(`${cause.message}\n`);
  });
  await Promise.race([ready, ended]);
  process.stdout.write(`  ${name}\n`);
};

const startRole = (role: string, number: number): Promise<void> => {
  const name = `${role}-${number}`;
  const settings = join(FOLDER, 'settings', `${name}.jsonc`);
  return startProcess(name, BINARY, [role, '--settings', settings]);
};

const startStandin = (name: string): Promise<void> =>
  startProcess(name, process.execPath, ['--import=tsx', join(FOLDER, 'standins.ts'), name]);

const runOperator = async (...args: readonly string[]): Promise<void> => {
  const child = spawn(BINARY, [...args, ...OPERATOR_OPTIONS], {
    stdio: ['ignore', 'ignore', 'inherit'],
  });
  await once(child, 'exit');
  const code = child.exitCode;
  if (code !== 0) throw new Error(`oleanderfront ${args[0] ?? ''} exited with ${String(code)}`);
};

const startAll = async (): Promise<void> => {
  await Promise.all([1, 2, 3].map((number) => startRole('control', number)));
  // The change id and base are constant, so that a restart with the same data changes nothing.
  const inventory = join(FOLDER, 'inventory.jsonc');
  await runOperator('apply', inventory, '--change-id', 'playground-first', '--base', '0', '--wait');
  await Promise.all([1, 2, 3, 4].map((number) => startRole('agent', number)));
  await Promise.all(['engine-1', 'engine-2', 'engine-3', 'bookings', 'rating'].map(startStandin));
  await Promise.all([1, 2].map((number) => startRole('entry', number)));
};

const printReady = (): void => {
  process.stdout.write(
    [
      'playground is ready on http://127.0.0.1:8081 and http://127.0.0.1:8082',
      `curl -s http://127.0.0.1:8081/v1/chat/completions -H 'authorization: Bearer yard-key' ` +
        `-H 'content-type: application/json' ` +
        `-d '{"model":"auto","messages":[{"role":"user","content":"How deep must the gravel be?"}]}'`,
      '',
    ].join('\n'),
  );
};

const handleSignal = (): void => {
  stopAll().catch(() => {});
};

process.on('SIGINT', handleSignal);
process.on('SIGTERM', handleSignal);
if (!existsSync(BINARY)) throw new Error(`${BINARY} does not exist; run \`npm run build\` first`);
mkdirSync(DATA, { recursive: true });
try {
  await startAll();
  printReady();
} catch (cause) {
  if (!isStopping) process.stderr.write(`${String(cause)}\n`);
  process.exitCode = 1;
  await stopAll();
}
