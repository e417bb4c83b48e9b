import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Error of the HTTP parser or of a timeout, with Node's code. */
export interface ClientFailure {
  readonly code?: string;
}

/** Formats the JSON body of a response to a request that could not be read. */
export type FormatFailure = (status: number, code: string) => string;

/** Responds to bytes that are no request and to requests that arrive too slowly. */
export interface ClientErrorHandler {
  readonly handle: (failure: ClientFailure, socket: Socket) => void;
  /** Follows the responses of a server; needed before `handle` is called. */
  readonly register: (server: Server) => void;
}

const STATUS_BY_CODE: Readonly<Record<string, number>> = {
  ERR_HTTP_REQUEST_TIMEOUT: 408,
  HPE_HEADER_OVERFLOW: 431,
};
const BAD_REQUEST = 400;
/** Time in which a caller may close its side after the last response, in milliseconds. */
const CLOSE_TIMEOUT_MS = 1_000;

const REASONS: Readonly<Record<number, string>> = {
  400: 'Bad Request',
  408: 'Request Timeout',
  431: 'Request Header Fields Too Large',
};

const sendFailure = (failure: ClientFailure, socket: Socket, format: FormatFailure): void => {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const status = STATUS_BY_CODE[failure.code ?? ''] ?? BAD_REQUEST;
  const body = format(status, failure.code ?? 'not HTTP');
  const lines = [
    `HTTP/1.1 ${status} ${REASONS[status]}`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close',
  ];
  // Closed by a reset, the connection could lose the response on its way.
  socket.setTimeout(CLOSE_TIMEOUT_MS, () => socket.destroy());
  socket.end(`${lines.join('\r\n')}\r\n\r\n${body}`);
};

/**
 * Creates a handler of client errors for one server. The failure of a pipelined request is sent only
 * after the responses to the requests before it: a caller would take its status for theirs.
 */
export const createClientErrorHandler = (format: FormatFailure): ClientErrorHandler => {
  const openResponses = new WeakMap<Socket, Set<ServerResponse>>();
  const failed = new WeakSet<Socket>();

  // A request that has not been read completely is the one that failed.
  const listEarlier = (socket: Socket): readonly ServerResponse[] =>
    [...(openResponses.get(socket) ?? [])].filter(({ req }) => req.complete);

  const handle = (failure: ClientFailure, socket: Socket): void => {
    // Later bytes and checks of the timeout fail again on the same connection.
    if (failed.has(socket)) return;
    failed.add(socket);
    const handleClose = (): void => {
      if (listEarlier(socket).length === 0) sendFailure(failure, socket, format);
    };
    listEarlier(socket).forEach((response) => response.once('close', handleClose));
    handleClose();
  };

  const register = (server: Server): void => {
    server.on('request', ({ socket }: IncomingMessage, response: ServerResponse) => {
      const responses = openResponses.get(socket) ?? new Set();
      openResponses.set(socket, responses.add(response));
      response.once('close', () => responses.delete(response));
    });
  };

  return { handle, register };
};
