export * from './types';
export * from './soloReplica';
