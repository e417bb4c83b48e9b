import { fork } from 'node:child_process';
import { once } from 'node:events';
import { request, type IncomingMessage } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import test from 'ava';
import type { OwnAddress } from '../../__tests__/ownAddresses';
import { HEADERS } from '../../../../platform/__tests__/wireNames';
import { LARGE_BODY_BYTES, OPTIONS_VARIABLE, type GatewayProcessOptions } from './gatewayProcess';

const PROGRAM = fileURLToPath(new URL('gatewayProcess.ts', import.meta.url));
/** Longer than the caller needs to receive what its buffers take. */
const READ_MS = 200;

const paths: readonly { readonly name: string; readonly options: GatewayProcessOptions }[] = [
  {
    name: 'a stream that cannot be resumed',
    options: { route: { kind: 'stream' }, answer: 'part of a stream' },
  },
  {
    name: 'a stream that can be resumed',
    options: { route: { kind: 'stream', canResume: true }, answer: 'part of a stream' },
  },
  {
    name: 'a body that runs once',
    options: { route: { kind: 'once' }, answer: 'a whole body' },
  },
  {
    name: 'a body that may be repeated',
    options: { route: {}, answer: 'a whole body' },
  },
];

const ends = ['is killed', 'exits at the end of a planned stop', 'aborts as without memory'];

const startCall = async (address: OwnAddress): Promise<IncomingMessage> => {
  const sent = request({
    ...address,
    method: 'POST',
    path: '/a/b',
    agent: false,
    headers: {
      host: 'shop.example',
      [HEADERS.requestId]: 'id-1',
      [HEADERS.key]: 'key-1',
      [HEADERS.deadline]: '20000',
    },
  });
  sent.on('error', () => {});
  sent.end('{}');
  const [message] = (await once(sent, 'response')) as [IncomingMessage];
  return message;
};

// The kernel closes the connections of a process that ends, and a caller takes that for the end of an
// answer without a length or chunks.
for (const { name, options } of paths) {
  for (const end of ends) {
    test(`an answer does not look complete if its gateway ${end}: ${name}`, async (t) => {
      t.timeout(60_000);
      const env = { ...process.env, [OPTIONS_VARIABLE]: JSON.stringify(options) };
      const child = fork(PROGRAM, { env, execArgv: ['--import=tsx'] });
      t.teardown(() => child.kill('SIGKILL'));
      const [address] = (await once(child, 'message')) as [OwnAddress];
      const message = await startCall(address);
      t.is(message.statusCode, 200);
      await sleep(READ_MS);
      let isBroken = false;
      message.on('error', () => {
        isBroken = true;
      });
      const closed = new Promise((resolve) => {
        message.once('close', resolve);
      });
      const exited = once(child, 'exit');
      child.send(end);
      await exited;
      let bytes = 0;
      message.on('data', (chunk: Buffer) => {
        bytes += chunk.length;
      });
      await closed;
      // The kernel may have taken a whole body, which arrives after the end of the process.
      const isWhole = bytes === LARGE_BODY_BYTES;
      t.true(isBroken || !message.complete || isWhole);
    });
  }
}
