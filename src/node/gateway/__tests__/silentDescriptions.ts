import type { Socket } from 'node:net';
import { closeByReset } from './socketAnswers';

const sendText =
  (text: string) =>
  (socket: Socket): void => {
    socket.end(text);
  };

/** What a process does that is asked who it is and does not say it. */
export const silentDescriptions: readonly {
  readonly name: string;
  readonly send: (socket: Socket) => void;
}[] = [
  { name: 'resets the question', send: closeByReset },
  { name: 'closes the question', send: sendText('') },
  { name: 'does not answer the question', send: () => {} },
  {
    name: 'is too busy for the question',
    send: sendText('HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n'),
  },
  {
    name: 'answers the question without saying who it is',
    send: sendText('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'),
  },
];
