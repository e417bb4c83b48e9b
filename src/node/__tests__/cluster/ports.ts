import { createSocket, type Socket } from 'node:dgram';
import { createServer } from 'node:net';

// These ports are below the kernel's ephemeral range. Outgoing connections cannot take a port while
// its process is down between a kill and a restart.
const FIRST_PORT = 20_000;
const PORT_COUNT = 12_000;
const PID_STRIDE = 97;
const HOST = '127.0.0.1';

let next = (process.pid * PID_STRIDE) % PORT_COUNT;

/** UDP sockets on the acquired ports; the kernel closes them when this process ends. */
const claims = new Set<Socket>();

const isFree = (port: number): Promise<boolean> =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, HOST, () => server.close(() => resolve(true)));
  });

// A process that is down for a moment leaves its TCP port free, so the UDP port of the same number
// shows that it belongs to a test.
const claimPort = (port: number): Promise<boolean> =>
  new Promise((resolve) => {
    const socket = createSocket('udp4');
    socket.once('error', () => {
      socket.close();
      resolve(false);
    });
    socket.bind({ port, address: HOST, exclusive: true }, () => {
      socket.unref();
      claims.add(socket);
      resolve(true);
    });
  });

/**
 * Finds a port that no process listens on. No two calls return the same port, in this process or in
 * others that run.
 */
export const acquirePort = async (start?: number): Promise<number> => {
  if (start !== undefined) next = start - FIRST_PORT;
  for (let tries = 0; tries < PORT_COUNT; tries += 1) {
    const port = FIRST_PORT + next;
    next = (next + 1) % PORT_COUNT;
    if ((await claimPort(port)) && (await isFree(port))) return port;
  }
  throw new Error(`no free port from ${FIRST_PORT} to ${FIRST_PORT + PORT_COUNT - 1}`);
};
