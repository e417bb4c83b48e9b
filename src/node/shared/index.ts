export * from './protocol';
export * from './policyProtocol';
