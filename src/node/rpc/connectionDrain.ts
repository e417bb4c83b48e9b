import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { performance } from 'node:perf_hooks';

/** The connections of a server during a planned stop. */
export interface ConnectionDrain {
  /** Counts the answers that the kernel has not taken completely. */
  readonly countUnsent: () => number;
  /**
   * Resets the connections of such answers, so that no caller takes the part for the whole: those
   * that were handed over for writing before `since`, by the monotonic clock, or all.
   */
  readonly resetUnsent: (since?: number) => void;
}

interface UnsentAnswer {
  readonly socket: Socket;
  /** When the last byte was handed over for writing; undefined while there may be more. */
  endedAt: number | undefined;
}

/**
 * Replaces how a server closes idle connections. Node takes a connection for idle once its answer
 * has been handed over, and destroys it with what is left to write.
 */
export const registerConnectionDrain = (server: Server): ConnectionDrain => {
  const unsent = new Map<ServerResponse, UnsentAnswer>();
  /** Bytes received when the latest request was complete; more of them begin another request. */
  const requestBytes = new Map<Socket, number>();

  const recordRequestBytes = (socket: Socket): void => {
    if (!requestBytes.has(socket)) socket.once('close', () => requestBytes.delete(socket));
    if (!socket.destroyed) requestBytes.set(socket, socket.bytesRead);
  };

  server.on('request', (message: IncomingMessage, response: ServerResponse) => {
    const { socket } = message;
    const answer: UnsentAnswer = { socket, endedAt: undefined };
    unsent.set(response, answer);
    recordRequestBytes(socket);
    message.once('end', () => recordRequestBytes(socket));
    response.once('prefinish', () => {
      answer.endedAt = performance.now();
    });
    // Follows `finish`, which waits until the kernel has taken the last byte.
    response.once('close', () => unsent.delete(response));
  });

  const closeIdleConnections = (): void => {
    const busy = new Set([...unsent.values()].map(({ socket }) => socket));
    requestBytes.forEach((bytes, socket) => {
      if (!busy.has(socket) && socket.bytesRead === bytes) socket.destroy();
    });
  };

  Object.assign(server, { closeIdleConnections });

  return {
    countUnsent: () => unsent.size,
    resetUnsent: (since = Infinity) =>
      unsent.forEach(({ socket, endedAt }) => {
        if (since === Infinity || (endedAt ?? Infinity) < since) socket.resetAndDestroy();
      }),
  };
};
