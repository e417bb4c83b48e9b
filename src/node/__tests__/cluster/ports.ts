import { createServer } from 'node:net';

// These ports are below the kernel's ephemeral range. Outgoing connections cannot take a port while
// its process is down between a kill and a restart.
const FIRST_PORT = 20_000;
const PORT_COUNT = 12_000;
const PID_STRIDE = 97;

let next = (process.pid * PID_STRIDE) % PORT_COUNT;

const isFree = (port: number): Promise<boolean> =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });

/** Finds a port that no process listens on. Each call returns a different port. */
export const acquirePort = async (): Promise<number> => {
  for (let tries = 0; tries < PORT_COUNT; tries += 1) {
    const port = FIRST_PORT + next;
    next = (next + 1) % PORT_COUNT;
    if (await isFree(port)) return port;
  }
  throw new Error(`no free port from ${FIRST_PORT} to ${FIRST_PORT + PORT_COUNT - 1}`);
};
