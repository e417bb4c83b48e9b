import type { ServerResponse } from 'node:http';
import type { RawHeaders } from './types';

/** The head of a response to a caller. */
export interface ReplyHead {
  readonly status: number;
  readonly headers: RawHeaders;
}

/**
 * The response path to one caller. A body has a length or chunks, also where the endpoint's ends with
 * its connection: the kernel closes the connections of a process that is killed, and the caller would
 * take that for the end of the body.
 */
export interface CallerReply {
  /** Sends a response with its whole body. */
  readonly send: (head: ReplyHead, body: Buffer) => void;
  /** Starts a response whose body follows in chunks. */
  readonly start: (head: ReplyHead) => void;
  /** Sends a chunk; resolves when the caller can accept more. */
  readonly write: (chunk: Buffer) => Promise<void>;
  /** Ends a complete body. */
  readonly end: () => void;
  /** Aborts the connection, so that an incomplete body cannot look complete. */
  readonly abort: () => void;
  readonly isStarted: () => boolean;
  /** Whether nothing more will be sent: the response has ended or its connection is closed. */
  readonly isEnded: () => boolean;
  readonly isDisconnected: () => boolean;
  /** Calls the listener when the caller closes its connection before the end of the response. */
  readonly onDisconnect: (listener: () => void) => void;
}

/** Statuses of responses without a body. */
export const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Finds the body length in bytes that headers declare. */
export const findDeclaredLength = (headers: RawHeaders): number | undefined => {
  const index = headers.findIndex(
    (name, at) => at % 2 === 0 && name.toLowerCase() === 'content-length',
  );
  return index < 0 ? undefined : Number(headers[index + 1]);
};

/** Creates the response path on top of Node's response object. */
export const createCallerReply = (
  response: ServerResponse,
  isClosing: () => boolean,
): CallerReply => {
  let isDisconnected = false;
  let isLengthSent = false;
  const listeners: (() => void)[] = [];
  response.once('close', () => {
    if (response.writableFinished) return;
    isDisconnected = true;
    listeners.splice(0).forEach((listener) => listener());
  });
  response.on('error', () => {
    // The `close` event that follows is handled above.
  });

  const writeHead = ({ status, headers }: ReplyHead): void => {
    const connectionHeaders = isClosing() ? ['Connection', 'close'] : [];
    response.sendDate = false;
    isLengthSent = findDeclaredLength(headers) !== undefined;
    response.writeHead(status, [...headers, ...connectionHeaders]);
  };

  return {
    send: (head, body) => {
      if (isDisconnected) return;
      const { status, headers } = head;
      const hasLength = findDeclaredLength(headers) !== undefined;
      const isBodiless = BODILESS_STATUSES.has(status) || response.req.method === 'HEAD';
      const length = hasLength || isBodiless ? [] : ['Content-Length', String(body.length)];
      writeHead({ ...head, headers: [...headers, ...length] });
      response.end(isBodiless ? undefined : body);
    },
    start: (head) => {
      if (!isDisconnected) writeHead(head);
    },
    write: (chunk) =>
      new Promise((resolve) => {
        if (isDisconnected || response.write(chunk)) {
          resolve();
          return;
        }
        const handleEnd = (): void => {
          response.off('drain', handleEnd);
          response.off('close', handleEnd);
          resolve();
        };
        response.once('drain', handleEnd);
        response.once('close', handleEnd);
      }),
    end: () => {
      if (!isDisconnected) response.end();
    },
    abort: () => {
      // Callers that speak HTTP/1.0 read no chunks; a reset is all that tells them.
      if (response.chunkedEncoding || isLengthSent) response.destroy();
      else response.socket?.resetAndDestroy();
    },
    isStarted: () => response.headersSent,
    isEnded: () => response.writableEnded || response.destroyed || isDisconnected,
    isDisconnected: () => isDisconnected,
    onDisconnect: (listener) => {
      if (isDisconnected) listener();
      else listeners.push(listener);
    },
  };
};
