export * from './adminApi';
export * from './configState';
export * from './controlApi';
export * from './controlParts';
export * from './controlServices';
