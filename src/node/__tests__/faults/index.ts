export * from './runSchedule';
export * from './schedule';
