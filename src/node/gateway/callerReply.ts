import type { ServerResponse } from 'node:http';
import type { RawHeaders } from './types';

/** The head of an answer to a caller. */
export interface ReplyHead {
  readonly status: number;
  readonly headers: RawHeaders;
  /**
   * True when nobody knows whether the body is whole: it then ends with the connection, as it came,
   * since a length would vouch for it.
   */
  readonly isCloseDelimited?: boolean;
}

/** The way back to one caller. */
export interface CallerReply {
  /** Sends an answer with all of its body. */
  readonly send: (head: ReplyHead, body: Buffer) => void;
  /** Begins an answer whose body follows in pieces. */
  readonly start: (head: ReplyHead) => void;
  /** Sends a piece; resolves when the caller is able to take more. */
  readonly write: (piece: Buffer) => Promise<void>;
  /** Ends a body that is complete. */
  readonly end: () => void;
  /** Breaks the connection off, so that an incomplete body cannot look complete. */
  readonly abort: () => void;
  readonly isStarted: () => boolean;
  readonly isDisconnected: () => boolean;
  /** Calls back once the caller has closed its connection before the answer's end. */
  readonly onDisconnect: (listener: () => void) => void;
}

/** Statuses whose answers have no body. */
export const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Creates the way back over Node's response object. */
export const createCallerReply = (
  response: ServerResponse,
  isClosing: () => boolean,
): CallerReply => {
  let isGone = false;
  /** Whether a plain close would look like the end of the body. */
  let hasCloseDelimitedBody = false;
  const listeners: (() => void)[] = [];
  response.once('close', () => {
    if (response.writableFinished) return;
    isGone = true;
    listeners.splice(0).forEach((listener) => listener());
  });
  response.on('error', () => {
    // The close event that follows tells of it.
  });

  const writeHead = ({ status, headers, isCloseDelimited: isUnframed }: ReplyHead): void => {
    const connectionHeaders = isClosing() || isUnframed ? ['Connection', 'close'] : [];
    response.sendDate = false;
    if (isUnframed) {
      response.useChunkedEncodingByDefault = false;
      hasCloseDelimitedBody = true;
    }
    response.writeHead(status, [...headers, ...connectionHeaders]);
  };

  return {
    send: (head, body) => {
      if (isGone) return;
      const { status, headers, isCloseDelimited: isUnframed } = head;
      const hasLength = headers.some(
        (name, index) => index % 2 === 0 && name.toLowerCase() === 'content-length',
      );
      const isBodiless = BODILESS_STATUSES.has(status) || response.req.method === 'HEAD';
      const length =
        hasLength || isBodiless || isUnframed ? [] : ['Content-Length', String(body.length)];
      writeHead({ ...head, headers: [...headers, ...length] });
      response.end(isBodiless ? undefined : body);
    },
    start: (head) => {
      if (!isGone) writeHead(head);
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
      // Only a body without a length needs it, since a reset may take what was sent before with it.
      if (hasCloseDelimitedBody) response.socket?.resetAndDestroy();
      response.destroy();
    },
    isStarted: () => response.headersSent,
    isDisconnected: () => isGone,
    onDisconnect: (listener) => {
      if (isGone) listener();
      else listeners.push(listener);
    },
  };
};
