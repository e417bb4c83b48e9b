import type { Service } from '../kernel';
import { createRpcClient, type RpcClientOptions } from './rpcClient';

/** Creates the service `rpc`: the one client of a process to the others. */
export const createRpcService = (options: RpcClientOptions): Service => ({
  name: 'rpc',
  needs: [],
  start: () => {
    const value = createRpcClient(options);
    return { value, stop: value.close };
  },
});
