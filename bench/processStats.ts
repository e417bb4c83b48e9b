import { execFileSync } from 'node:child_process';
import { readFileSync } from 'node:fs';

/** CPU time of a process since its start, and its current memory. */
export interface ProcessStats {
  readonly cpuSeconds: number;
  readonly residentMegabytes: number;
  /** Resident memory that is not backed by a file, such as the heap. */
  readonly anonymousMegabytes: number;
}

const TICKS_PER_SECOND = Number(execFileSync('getconf', ['CLK_TCK'], { encoding: 'utf8' }));
const KILOBYTES_PER_MEGABYTE = 1_024;
const USER_TICKS_FIELD = 11;

/** Reads the CPU time and memory of a process from `/proc`. */
export const readProcessStats = (pid: number): ProcessStats => {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[USER_TICKS_FIELD + 1]);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const readMegabytes = (field: string): number => {
    const match = new RegExp(`${field}:\\s+(\\d+)`).exec(status);
    return Number(match?.[1] ?? 0) / KILOBYTES_PER_MEGABYTE;
  };
  return {
    cpuSeconds: ticks / TICKS_PER_SECOND,
    residentMegabytes: readMegabytes('VmRSS'),
    anonymousMegabytes: readMegabytes('RssAnon'),
  };
};

/** Fits a line through points by least squares. */
export const computeSlope = (
  points: readonly (readonly [number, number])[],
): { readonly slope: number; readonly intercept: number } => {
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const slope = variance === 0 ? 0 : covariance / variance;
  return { slope, intercept: meanY - slope * meanX };
};
