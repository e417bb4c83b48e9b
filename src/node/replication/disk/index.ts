export * from './files';
export * from './snapshotFile';
export * from './store';
