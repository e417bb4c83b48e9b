export * from './chooseTarget';
