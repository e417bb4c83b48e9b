export * from './adminApi';
export * from './configState';
export * from './controlApi';
export * from './controlContext';
export * from './controlServices';
