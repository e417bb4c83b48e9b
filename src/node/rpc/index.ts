export * from './clientErrors';
export * from './connectionDrain';
export * from './rpcServer';
export * from './rpcClient';
export * from './httpServer';
export * from './healthRoutes';
export * from './adminClient';
export * from './rpcService';
