import { subscribe } from 'node:diagnostics_channel';
import type { Socket } from 'node:net';
import type { Cluster } from '../src/node/__tests__/cluster';
import { computeSlope, readProcessStats } from './processStats';

/** A size and the value measured at that size. */
export type Point = readonly [number, number];

/** Prints a line of the report. */
export const print = (line: string): void => console.log(line);

const sockets = new Set<Socket>();
subscribe('undici:client:connected', (message) => {
  sockets.add((message as { readonly socket: Socket }).socket);
});

/** Counts the bytes that this process has sent and received over undici connections so far. */
export const countBytes = (): { readonly sent: number; readonly received: number } => {
  let sent = 0;
  let received = 0;
  sockets.forEach((socket) => {
    sent += socket.bytesWritten;
    received += socket.bytesRead;
  });
  return { sent, received };
};

const formatPoints = (points: readonly Point[], digits: number): string =>
  points.map(([x, y]) => `${x}: ${y.toFixed(digits)}`).join(', ');

/** Prints one row: the points and the line fitted through them. */
export const printFit = (name: string, points: readonly Point[], digits: number): void => {
  const { slope, intercept } = computeSlope(points);
  const fit = `${slope.toPrecision(3)} per unit + ${intercept.toPrecision(3)}`;
  print(`| ${name} | ${formatPoints(points, digits)} | ${fit} |`);
};

/** Prints the title and the header row of a table. */
export const printHeader = (title: string): void => {
  print(`\n## ${title}\n`);
  print('| figure | points (size: value) | fitted line |');
  print('| --- | --- | --- |');
};

/** Returns the CPU seconds used by all control hosts. */
export const readControlCpu = (cluster: Cluster): number =>
  [...cluster.processes.values()]
    .filter((item) => item.role === 'control')
    .reduce((sum, item) => sum + readProcessStats(item.pid()).cpuSeconds, 0);

/** Returns the resident memory of a node's process in megabytes. */
export const readResident = (cluster: Cluster, node: string): number =>
  readProcessStats(cluster.processes.get(node)!.pid()).residentMegabytes;
