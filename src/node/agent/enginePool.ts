import { buildConnector, Client, DecoratorHandler, Pool, type Dispatcher } from 'undici';
import { registerResetListener } from '../shared';

const MAX_ENGINE_CONNECTIONS = 256;

// Only a handler can still fail a response when the client ends it at a reset.
const createResetHandler = (
  handler: Dispatcher.DispatchHandler,
  isReset: () => boolean,
): Dispatcher.DispatchHandler => {
  const decorated: Dispatcher.DispatchHandler = new DecoratorHandler(handler);
  const handleEnd = decorated.onResponseEnd?.bind(decorated);
  return Object.assign(decorated, {
    onResponseEnd: (...end: Parameters<NonNullable<typeof handleEnd>>): void => {
      const [controller] = end;
      if (isReset()) {
        decorated.onResponseError?.(controller, new Error('the engine reset the connection'));
      } else handleEnd?.(...end);
    },
  });
};

// A client has one connection at a time, so that a reset is that of the response it relays.
const createEngineClient = (origin: URL, options: object): Dispatcher => {
  const connect = buildConnector({});
  let isReset = false;
  const client = new Client(origin, {
    ...options,
    connect: (target, callback) =>
      connect(target, (...[failure, socket]) => {
        isReset = false;
        if (!socket) {
          callback(failure, null);
          return;
        }
        registerResetListener(socket, () => {
          isReset = true;
        });
        callback(null, socket);
      }),
  });
  const dispatch = client.dispatch.bind(client);
  return Object.assign(client, {
    dispatch: (request: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler) =>
      dispatch(
        request,
        createResetHandler(handler, () => isReset),
      ),
  });
};

/** Creates the connections of an agent to one engine or plain service. */
export const createEnginePool = (address: string, connections = MAX_ENGINE_CONNECTIONS): Pool =>
  new Pool(`http://${address}`, { connections, factory: createEngineClient });
