import type { Socket } from 'node:net';

// Errors that the HTTP client itself raises when it closes a connection have no `syscall`.
const isSystemError = (cause: Error): boolean =>
  (cause as NodeJS.ErrnoException).syscall !== undefined;

// A reset that arrives together with the last bytes is read like a close, and a write that it fails is
// lost when the client destroys the socket. But a reset connection has no peer any more, unlike one
// that only the peer has closed.
const hasBeenReset = (socket: Socket): boolean => socket.remoteAddress === undefined;

/**
 * Registers a listener for the reset of a connection that an HTTP client reads. The client takes a
 * reset for the end of a close-delimited body, so the listener has to be registered before the client
 * has the socket; it is called before the body ends. The socket's `remoteAddress` must not be read
 * before, because Node keeps it.
 */
export const registerResetListener = (socket: Socket, handleReset: () => void): void => {
  socket.on('error', (cause) => {
    if (isSystemError(cause)) handleReset();
  });
  socket.on('end', () => {
    if (hasBeenReset(socket)) handleReset();
  });
};
