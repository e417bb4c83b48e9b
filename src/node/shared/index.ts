export * from './announcement';
export * from './protocol';
export * from './adminProtocol';
export * from './policyProtocol';
export * from './connectionReset';
