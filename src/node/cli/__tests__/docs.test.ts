import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import test, { type ExecutionContext } from 'ava';
import { request } from 'undici';
import { startDev, type Dev } from '../../dev';
import { createRootLogger } from '../../log';
import { runInMemory } from './runInMemory';

const ROOT = new URL('../../../../', import.meta.url);
const BINARY = './dist/oleanderfront';

/** Lines that need a shell, a package registry or a terminal; other tests cover what they do. */
const SKIPPED_LINES = [/^npm /, /^\.\/dist\/oleanderfront dev /];

const readBlocks = (page: string, language: string): readonly string[] => {
  const text = readFileSync(new URL(page, ROOT), 'utf8');
  const pattern = new RegExp(`^\`\`\`${language}\\n([^]*?)^\`\`\`$`, 'gm');
  return [...text.matchAll(pattern)].map((match) => match[1]!);
};

interface ShellState {
  readonly dev: Dev;
  readonly folder: string;
  readonly env: Record<string, string>;
  requestId: string;
}

// The pages use fixed ports and files in the working folder; the test replaces them by its own.
const resolvePlaceholders = (state: ShellState, text: string): string =>
  text
    .replaceAll('127.0.0.1:8090', state.dev.controlAddress)
    .replaceAll('127.0.0.1:8080', state.dev.address)
    .replaceAll('dev-data/operator-secret', state.dev.secretFile)
    .replaceAll('REQUEST', state.requestId)
    .replaceAll(/(?<=^|\s)(inventory\.jsonc|register\.csv)/g, (name) => join(state.folder, name));

const parseWords = (line: string): readonly string[] =>
  [...line.matchAll(/"([^"]*)"|'([^']*)'|(\S+)/g)].map(
    (match) => match[1] ?? match[2] ?? match[3] ?? '',
  );

const runExport = (state: ShellState, line: string): void => {
  const [, name = '', value = ''] = /^export (\w+)=(.*)$/.exec(line) ?? [];
  const file = /^\$\(cat (.*)\)$/.exec(value)?.[1];
  state.env[name] = file === undefined ? value : readFileSync(file, 'utf8').trim();
};

const runCurl = async (t: ExecutionContext, state: ShellState, line: string): Promise<void> => {
  const words = parseWords(line);
  const readOptions = (option: string): readonly string[] =>
    words.filter((_word, index) => words[index - 1] === option);
  const headers = readOptions('-H').map((header) => header.split(': ') as [string, string]);
  const response = await request(
    words.find((word) => word.startsWith('http'))!,
    {
      method: 'POST',
      headers: Object.fromEntries(headers),
      body: readOptions('-d')[0]!,
    },
  );
  t.is(response.statusCode, 200, line);
  state.requestId = String(response.headers['x-request-id']);
  await response.body.dump();
};

const runBinary = async (t: ExecutionContext, state: ShellState, line: string): Promise<void> => {
  const [command = '', target] = line.split(' > ');
  const [, ...args] = parseWords(command);
  const result = await runInMemory(args, state.env);
  t.is(result.code, 0, `${line}\n${result.error}`);
  if (target !== undefined) writeFileSync(target, result.out);
};

const runLine = async (t: ExecutionContext, state: ShellState, raw: string): Promise<void> => {
  if (SKIPPED_LINES.some((pattern) => pattern.test(raw))) return;
  const line = resolvePlaceholders(state, raw);
  if (line.startsWith('export ')) runExport(state, line);
  else if (line.startsWith('curl ')) await runCurl(t, state, line);
  else if (line.startsWith(BINARY)) await runBinary(t, state, line);
  else t.fail(`cannot run: ${raw}`);
};

const startShell = async (t: ExecutionContext): Promise<ShellState> => {
  const log = createRootLogger({ level: 'silent', node: 'dev' });
  const dev = await startDev({ port: 0, log });
  t.teardown(dev.stop);
  const folder = mkdtempSync(join(tmpdir(), 'oleanderfront-'));
  return { dev, folder, env: {}, requestId: '' };
};

for (const page of ['README.md', 'docs/OPERATORS.md']) {
  test(`the commands of ${page} run as written`, async (t) => {
    process.chdir(fileURLToPath(ROOT));
    const state = await startShell(t);
    const [register] = readBlocks(page, 'csv');
    if (register !== undefined) writeFileSync(join(state.folder, 'register.csv'), register);
    // Sends a request for `explain`, also for a page that sends none itself.
    const [example = ''] = readBlocks('README.md', 'sh')
      .join('')
      .split('\n')
      .filter((line) => line.startsWith('curl '));
    await runCurl(t, state, resolvePlaceholders(state, example));
    const lines = readBlocks(page, 'sh').join('').split('\n');
    for (const line of lines.filter((item) => item.trim() !== '')) await runLine(t, state, line);
  });
}
