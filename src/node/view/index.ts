export * from './view';
