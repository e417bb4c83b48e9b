export * from './protocol';
export * from './adminProtocol';
