import type { AddressInfo, Server } from 'node:net';

// Tests that close a listener and expect its port to stay closed, or free for its restart, would meet
// the listeners of other tests if all of them shared the ephemeral ports of one address. Linux takes
// each address of 127.0.0.0/8 for the machine's own; the blocks below 64 are left to other uses.
const FIRST_BLOCK = 64;
const BLOCK_COUNT = 190;
const FIRST_PORT = 1_024;
const PORT_COUNT = 64_000;
const MAX_TRIES = 10;
const hasOwnAddresses = process.platform === 'linux';

let taken = 0;

/** An address of this process. */
export interface OwnAddress {
  readonly host: string;
  readonly port: number;
}

// Elsewhere than on Linux the port is 0, which selects any free one.
const acquireOwnAddress = (): OwnAddress => {
  if (!hasOwnAddresses) return { host: '127.0.0.1', port: 0 };
  const block = FIRST_BLOCK + (Math.floor(taken / PORT_COUNT) % BLOCK_COUNT);
  const port = FIRST_PORT + (taken % PORT_COUNT);
  taken += 1;
  return { host: `127.${block}.${Math.floor(process.pid / 256) % 256}.${process.pid % 256}`, port };
};

/** Lets a server listen on an address; fails if it cannot. */
export const startListening = (server: Server, { host, port }: OwnAddress): Promise<void> =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve();
    });
  });

/**
 * Lets a server listen on an address that no other process listens on and that this one has not used
 * before.
 */
export const startOnOwnAddress = async (server: Server): Promise<OwnAddress> => {
  for (let tries = 1; ; tries += 1) {
    const address = acquireOwnAddress();
    try {
      await startListening(server, address);
      return { host: address.host, port: (server.address() as AddressInfo).port };
    } catch (cause) {
      // Some program of the machine may listen on this port of all addresses.
      if ((cause as NodeJS.ErrnoException).code !== 'EADDRINUSE' || tries === MAX_TRIES)
        throw cause;
    }
  }
};
