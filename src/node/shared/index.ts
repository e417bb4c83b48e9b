export * from './protocol';
