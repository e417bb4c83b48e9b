export * from './runServices';
