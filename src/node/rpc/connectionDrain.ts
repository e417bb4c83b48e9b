import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { performance } from 'node:perf_hooks';
import { TLSSocket } from 'node:tls';

/** The connections of a server during a planned stop. */
export interface ConnectionDrain {
  /** Counts the answers that the kernel has not taken completely. */
  readonly countUnsent: () => number;
  /**
   * Resets the connections of such answers, so that no caller takes the part for the whole: of
   * those that were handed over for writing up to a time of the monotonic clock, or of all.
   */
  readonly resetUnsent: (upTo?: number) => void;
}

interface ConnectionState {
  /** Bytes received when the latest request was complete; more of them begin another request. */
  requestBytes: number;
  /**
   * Answers that are not sent completely, with the time at which the last byte was handed over for
   * writing; infinite while there may be more.
   */
  readonly unsent: Map<ServerResponse, number>;
}

// Node throws if a TLS socket is reset.
const closeByReset = (socket: Socket): void => {
  if (socket instanceof TLSSocket) socket.destroy();
  else socket.resetAndDestroy();
};

/**
 * Replaces how a server closes idle connections. Node takes a connection for idle once its answer
 * has been handed over, and destroys it with what is left to write.
 */
export const registerConnectionDrain = (server: Server): ConnectionDrain => {
  const connections = new Map<Socket, ConnectionState>();

  const resolveState = (socket: Socket): ConnectionState => {
    const known = connections.get(socket);
    if (known) return known;
    const state: ConnectionState = { requestBytes: 0, unsent: new Map() };
    connections.set(socket, state);
    // Answers to pipelined requests that wait for their turn get no event of their own.
    socket.once('close', () => connections.delete(socket));
    return state;
  };

  server.on('request', (message: IncomingMessage, response: ServerResponse) => {
    const { socket } = message;
    const state = resolveState(socket);
    state.unsent.set(response, Infinity);
    state.requestBytes = socket.bytesRead;
    message.once('end', () => {
      state.requestBytes = socket.bytesRead;
    });
    response.once('prefinish', () => state.unsent.set(response, performance.now()));
    // Follows `finish`, which waits until the kernel has taken the last byte.
    response.once('close', () => state.unsent.delete(response));
  });

  const closeIdleConnections = (): void =>
    connections.forEach(({ requestBytes, unsent }, socket) => {
      if (unsent.size === 0 && socket.bytesRead === requestBytes) socket.destroy();
    });

  Object.assign(server, { closeIdleConnections });

  return {
    countUnsent: () => [...connections.values()].reduce((sum, { unsent }) => sum + unsent.size, 0),
    resetUnsent: (upTo = Infinity) =>
      connections.forEach(({ unsent }, socket) => {
        if ([...unsent.values()].some((endedAt) => endedAt <= upTo)) closeByReset(socket);
      }),
  };
};
