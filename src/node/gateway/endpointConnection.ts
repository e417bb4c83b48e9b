import { connect } from 'node:net';

/**
 * Checks whether an endpoint accepts connections. An endpoint that was lost closes its connections
 * like one that has finished a close-delimited response, but accepts no new ones.
 */
export const canConnect = (address: string, timeoutMs: number): Promise<boolean> =>
  new Promise((resolve) => {
    const [host, port] = address.split(':');
    const socket = connect({ host, port: Number(port) });
    const handleResult = (isOpen: boolean): void => {
      socket.destroy();
      resolve(isOpen);
    };
    socket.setTimeout(timeoutMs, () => handleResult(false));
    socket.once('connect', () => handleResult(true));
    socket.once('error', () => handleResult(false));
  });
