import { spawn } from 'node:child_process';
import { once } from 'node:events';
import test from 'ava';
import { acquirePort } from './cluster/ports';

const START = 31_000;
const COUNT = 5;

const listPorts = async (): Promise<readonly number[]> => {
  const ports = [await acquirePort(START)];
  while (ports.length < COUNT) ports.push(await acquirePort());
  return ports;
};

const PROGRAM = `
  import { acquirePort } from './src/node/__tests__/cluster/ports.ts';
  const ports = [await acquirePort(${START})];
  while (ports.length < ${COUNT}) ports.push(await acquirePort());
  console.log(JSON.stringify(ports));
`;

test('two processes that look for ports in the same place get different ones', async (t) => {
  const own = await listPorts();
  const child = spawn(
    process.execPath,
    ['--import=tsx', '--input-type=module', '--eval', PROGRAM],
    { stdio: ['ignore', 'pipe', 'inherit'] },
  );
  let output = '';
  child.stdout.on('data', (chunk: Buffer) => {
    output += chunk.toString();
  });
  await once(child, 'close');
  const others = JSON.parse(output) as readonly number[];
  t.is(others.length, COUNT);
  t.deepEqual(
    others.filter((port) => own.includes(port)),
    [],
  );
});
