export * from './runServices';
export * from './listChangedSettings';
