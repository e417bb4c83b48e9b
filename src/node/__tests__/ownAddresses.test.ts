import { connect, createServer } from 'node:net';
import { once } from 'node:events';
import test from 'ava';
import { startOnOwnAddress, type OwnAddress } from './ownAddresses';

const LISTENERS = 200;

const readConnectError = async ({ host, port }: OwnAddress): Promise<string | undefined> => {
  const socket = connect(port, host);
  const [cause] = (await once(socket, 'error')) as [NodeJS.ErrnoException];
  return cause.code;
};

// Guards against tests that meet each other's listeners at an address that was closed.
test('an address that was closed is not given to another listener', async (t) => {
  const first = createServer();
  const closed = await startOnOwnAddress(first);
  first.close();
  await once(first, 'close');
  const servers = Array.from({ length: LISTENERS }, () => createServer());
  const addresses = await Promise.all(servers.map(startOnOwnAddress));
  t.teardown(() => servers.forEach((server) => server.close()));
  t.is(new Set(addresses.map(({ host, port }) => `${host}:${port}`)).size, LISTENERS);
  t.is(await readConnectError(closed), 'ECONNREFUSED');
  const restarted = createServer().listen(closed.port, closed.host);
  await once(restarted, 'listening');
  restarted.close();
});
