export * from './members';
export * from './loadPermits';
export * from './nodeTracker';
