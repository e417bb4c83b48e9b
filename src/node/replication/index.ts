export * from './types';
export * from './replicationHost';
