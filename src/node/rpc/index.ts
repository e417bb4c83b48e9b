export * from './clientErrors';
export * from './rpcServer';
export * from './rpcClient';
export * from './httpServer';
export * from './healthRoutes';
export * from './adminClient';
export * from './rpcService';
