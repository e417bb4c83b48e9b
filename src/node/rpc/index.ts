export * from './rpcServer';
export * from './rpcClient';
export * from './httpServer';
