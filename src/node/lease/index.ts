export * from './leaseClient';
