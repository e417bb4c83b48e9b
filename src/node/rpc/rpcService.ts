import type { Service } from '../kernel';
import { createRpcClient, type RpcClientOptions } from './rpcClient';

/** Creates the `rpc` service: the client that a process uses for all calls to other processes. */
export const createRpcService = (options: RpcClientOptions): Service => ({
  name: 'rpc',
  dependencies: [],
  start: () => {
    const value = createRpcClient(options);
    return { value, stop: value.close };
  },
});
