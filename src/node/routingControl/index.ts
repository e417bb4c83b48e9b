export * from './loadBoard';
export * from './protocol';
export * from './registryDesk';
export * from './rolloutSupervisor';
export * from './routingControlServices';
export * from './routingDesk';
export * from './routingState';
export * from './settings';
