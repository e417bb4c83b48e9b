export * from './leaseClient';
export * from './leaseClock';
