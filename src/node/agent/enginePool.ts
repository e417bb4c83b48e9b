import { buildConnector, Pool } from 'undici';

const MAX_ENGINE_CONNECTIONS = 256;

/** Code of a connection that the engine reset, in place of the system's. */
const RESET_CODE = 'ERR_ENGINE_RESET';

/** Creates the connections of an agent to one engine or plain service. */
export const createEnginePool = (address: string, connections = MAX_ENGINE_CONNECTIONS): Pool => {
  const connect = buildConnector({});
  return new Pool(`http://${address}`, {
    connections,
    connect: (options, callback) =>
      connect(options, (...[failure, socket]) => {
        // The client ends a close-delimited body at ECONNRESET as if the body were complete.
        socket?.on('error', (cause: NodeJS.ErrnoException) => {
          if (cause.code === 'ECONNRESET') Object.assign(cause, { code: RESET_CODE });
        });
        if (socket) callback(null, socket);
        else callback(failure, null);
      }),
  });
};
