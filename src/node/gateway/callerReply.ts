import type { ServerResponse } from 'node:http';
import type { RawHeaders } from './types';

/** The way back to one caller. */
export interface CallerReply {
  /** Sends a whole answer. */
  readonly send: (status: number, headers: RawHeaders, body: Buffer) => void;
  /** Begins an answer whose body follows in pieces. */
  readonly start: (status: number, headers: RawHeaders) => void;
  /** Sends a piece; resolves when the caller is able to take more. */
  readonly write: (piece: Buffer) => Promise<void>;
  /** Ends a body that is complete. */
  readonly end: () => void;
  /** Breaks the connection off, so that an incomplete body cannot look complete. */
  readonly abort: () => void;
  readonly isStarted: () => boolean;
  readonly isGone: () => boolean;
  /** Calls back once the caller has closed its connection before the answer's end. */
  readonly onGone: (listener: () => void) => void;
}

const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Creates the way back over Node's response object. */
export const createCallerReply = (
  response: ServerResponse,
  isClosing: () => boolean,
): CallerReply => {
  let isGone = false;
  const listeners: (() => void)[] = [];
  response.once('close', () => {
    if (response.writableFinished) return;
    isGone = true;
    listeners.splice(0).forEach((listener) => listener());
  });
  response.on('error', () => {
    // The close event that follows tells of it.
  });

  const writeHead = (status: number, headers: RawHeaders): void => {
    const closing = isClosing() ? ['Connection', 'close'] : [];
    response.sendDate = false;
    response.writeHead(status, [...headers, ...closing]);
  };

  return {
    send: (status, headers, body) => {
      if (isGone) return;
      const hasLength = headers.some(
        (name, index) => index % 2 === 0 && name.toLowerCase() === 'content-length',
      );
      const isBodiless = BODILESS_STATUSES.has(status) || response.req.method === 'HEAD';
      const length = hasLength || isBodiless ? [] : ['Content-Length', String(body.length)];
      writeHead(status, [...headers, ...length]);
      response.end(isBodiless ? undefined : body);
    },
    start: (status, headers) => {
      if (!isGone) writeHead(status, headers);
    },
    write: (piece) =>
      new Promise((resolve) => {
        if (isGone || response.write(piece)) {
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
      if (!isGone) response.end();
    },
    abort: () => {
      response.destroy();
    },
    isStarted: () => response.headersSent,
    isGone: () => isGone,
    onGone: (listener) => {
      if (isGone) listener();
      else listeners.push(listener);
    },
  };
};
