export { createLeaseClock, type ClockReading, type LeaseClock } from '../lease';
