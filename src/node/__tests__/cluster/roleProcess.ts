import { execFileSync, spawn, type ChildProcess } from 'node:child_process';
import { closeSync, existsSync, openSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { waitFor } from './waitFor';

/** The roles that run as separate processes. */
export type Role = 'entry' | 'agent' | 'control';

/** Options of a role process. */
export interface RoleProcessOptions {
  readonly role: Role;
  readonly node: string;
  readonly folder: string;
  readonly settings: object;
  readonly nodeArguments?: readonly string[];
}

/** A role process that can be signalled, killed and restarted. */
export interface RoleProcess {
  readonly role: Role;
  readonly node: string;
  readonly pid: () => number;
  readonly isRunning: () => boolean;
  /** Starts the process and waits until it prints that it is ready. */
  readonly start: () => Promise<void>;
  readonly signal: (name: NodeJS.Signals) => void;
  /** Resolves with the exit code, or with -1 after a signal. */
  readonly waitForExit: () => Promise<number>;
  readonly readLog: () => string;
}

const SCRIPT = fileURLToPath(new URL('../../../../dist/oleanderfront.cjs', import.meta.url));
const BUILD = fileURLToPath(new URL('../../../../scripts/build.mjs', import.meta.url));

/** Returns the path of the bundled script. Builds it if it does not exist. */
export const resolveScript = (): string => {
  if (!existsSync(SCRIPT)) execFileSync(process.execPath, [BUILD], { stdio: 'ignore' });
  return SCRIPT;
};

const children = new Set<ChildProcess>();
process.once('exit', () => children.forEach((child) => child.kill('SIGKILL')));

/** Writes the settings file of a process. The process does not run until `start` is called. */
export const createRoleProcess = (options: RoleProcessOptions): RoleProcess => {
  const { role, node, folder } = options;
  const settingsFile = join(folder, `${node}.jsonc`);
  const logFile = join(folder, `${node}.log`);
  writeFileSync(settingsFile, JSON.stringify(options.settings, null, 2));
  let child: ChildProcess | undefined;
  let exited: Promise<number> = Promise.resolve(0);

  const isRunning = (): boolean =>
    child !== undefined && child.exitCode === null && child.signalCode === null;

  const start = async (): Promise<void> => {
    const log = openSync(logFile, 'a');
    const script = resolveScript();
    const flags = [...(options.nodeArguments ?? []), script, role, '--settings', settingsFile];
    const started = spawn(process.execPath, flags, { stdio: ['ignore', 'pipe', log] });
    closeSync(log);
    child = started;
    children.add(started);
    let output = '';
    started.stdout!.on('data', (chunk: Buffer) => {
      output += chunk.toString('utf8');
    });
    exited = new Promise((resolve) => {
      started.once('exit', (code) => {
        children.delete(started);
        resolve(code ?? -1);
      });
    });
    await waitFor(`${node} to be ready`, () => {
      if (!isRunning())
        throw new Error(`${node} exited before it was ready: ${readFileSync(logFile, 'utf8')}`);
      return output.includes(' ready');
    });
  };

  return {
    role,
    node,
    pid: () => child?.pid ?? 0,
    isRunning,
    start,
    signal: (name) => {
      child?.kill(name);
    },
    waitForExit: () => exited,
    readLog: () => readFileSync(logFile, 'utf8'),
  };
};
