export * from './kernel';
