import type { Socket } from 'node:net';
import { HEADERS } from '../../../../platform/__tests__/wireNames';
import type { CallOptions, RouteFields, SocketAnswer } from './harness';

/** Time from the bytes of an answer to the end of its connection, in milliseconds. */
export const PAUSE_MS = 20;
/** Headers of an answer to the harness's request. */
export const ECHO = `${HEADERS.requestId}: id-1\r\n${HEADERS.signature}: s`;

/** Creates an answer that sends a text and then ends the connection in the given way. */
export const createAnswer =
  (text: string, end: (socket: Socket) => void = () => {}): SocketAnswer =>
  (socket) => {
    socket.write(text);
    setTimeout(() => end(socket), PAUSE_MS);
  };

/** Creates an answer of an endpoint that accepts no connections after it. */
export const createLastAnswer =
  (answer: SocketAnswer): SocketAnswer =>
  (socket, head, stopListening, replaceProcess) => {
    stopListening();
    answer(socket, head, stopListening, replaceProcess);
  };

/** Ends a connection as a process does that has sent everything or exits. */
export const close = (socket: Socket): void => {
  socket.end();
};

/** Ends a connection with a reset. */
export const closeByReset = (socket: Socket): void => {
  socket.resetAndDestroy();
};

/**
 * Limits that are long enough for a busy machine, for cases in which another timeout must fire
 * first.
 */
export const LONG_ROUTE_TIMEOUT: RouteFields = { timeoutMs: 20_000 };
/** The same for the caller's deadline. */
export const LONG_DEADLINE: CallOptions = { headers: { [HEADERS.deadline]: '20000' } };
