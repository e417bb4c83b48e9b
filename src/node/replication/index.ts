export * from './types';
export * from './replicationHost';
export * from './replaceRoute';
