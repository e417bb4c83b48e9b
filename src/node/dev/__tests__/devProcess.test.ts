import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { existsSync } from 'node:fs';
import { dirname } from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import test from 'ava';
import { request } from 'undici';

const BINARY = fileURLToPath(new URL('../../../../dist/oleanderfront', import.meta.url));
const READY_LINE =
  /^oleanderfront dev is ready on (http:\/\/127\.0\.0\.1:\d+) \(control 127\.0\.0\.1:\d+, operators' secret in (\S+)\)$/;
const CURL_COMMAND =
  /^curl -s (\S+) -H 'authorization: (\S+ \S+)' -H 'content-type: (\S+)' -d '([^']+)'$/;

test('dev prints a ready line and a curl command, and exits cleanly on Ctrl-C', async (t) => {
  const child = spawn(BINARY, ['dev', '--port', '0'], { stdio: ['ignore', 'pipe', 'pipe'] });
  t.teardown(() => child.kill('SIGKILL'));
  const lines: string[] = [];
  const errors: string[] = [];
  child.stderr.on('data', (chunk: Buffer) => errors.push(chunk.toString()));
  const reader = createInterface({ input: child.stdout });
  reader.on('line', (line) => lines.push(line));
  while (lines.length < 2) await once(reader, 'line');

  const [, address, secretFile] = READY_LINE.exec(lines[0]!) ?? [];
  t.truthy(address, lines[0]);
  const [, url, authorization, type, body] = CURL_COMMAND.exec(lines[1]!) ?? [];
  t.is(url, `${address}/v1/chat/completions`, lines[1]);
  const headers = { authorization: authorization!, 'content-type': type! };
  const response = await request(url!, { method: 'POST', headers, body });
  t.is(response.statusCode, 200);
  await response.body.dump();

  const exit = once(child, 'exit');
  child.kill('SIGINT');
  t.deepEqual(await exit, [0, null]);
  t.is(lines.length, 2);
  t.is(errors.join(''), '');
  t.false(existsSync(dirname(secretFile!)), 'the temporary folder was not removed');
});

test('dev reports a port that is in use in one line', async (t) => {
  const first = spawn(BINARY, ['dev', '--port', '0'], { stdio: ['ignore', 'pipe', 'ignore'] });
  t.teardown(() => first.kill('SIGKILL'));
  const [line] = (await once(createInterface({ input: first.stdout }), 'line')) as [string];
  const port = /127\.0\.0\.1:(\d+)/.exec(line)![1]!;
  const second = spawn(BINARY, ['dev', '--port', port], { stdio: ['ignore', 'ignore', 'pipe'] });
  const errors: string[] = [];
  second.stderr.on('data', (chunk: Buffer) => errors.push(chunk.toString()));
  const [code] = await once(second, 'close');
  t.not(code, 0);
  t.regex(errors.join(''), /EADDRINUSE/);
  t.is(errors.join('').trim().split('\n').length, 1, errors.join(''));
});
