import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { build, type Histogram } from 'hdr-histogram-js';
import { Pool } from 'undici';

/** Options of an open-loop load on one address. */
export interface LoadOptions {
  readonly address: string;
  readonly requestsPerSecond: number;
  readonly seconds: number;
  readonly model: string;
  readonly isStream: boolean;
  readonly authorization?: string;
  readonly text?: string;
}

/** Results of a load run. Times are in microseconds, counted from the intended send time. */
export interface LoadResult {
  readonly sent: number;
  readonly answered: number;
  readonly failures: ReadonlyMap<string, number>;
  readonly firstPiece: Histogram;
  readonly wholeAnswer: Histogram;
  /** Time between consecutive pieces of one stream. */
  readonly gaps: Histogram;
  readonly pieces: number;
  /** Number of answers by their exact text. */
  readonly texts: ReadonlyMap<string, number>;
  readonly elapsedSeconds: number;
}

const MICROSECONDS_PER_MILLISECOND = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;
const CONNECTIONS = 2_000;
const PATH = '/v1/chat/completions';
const TEXT = 'How deep must the gravel be?';
const WORD = /"content":"([^"]*)"/g;

const createHistogram = (): Histogram =>
  build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 120_000_000,
    numberOfSignificantValueDigits: 3,
  });

const addCount = (counts: Map<string, number>, name: string): void => {
  counts.set(name, (counts.get(name) ?? 0) + 1);
};

const recordSince = (histogram: Histogram, startedAt: number): number => {
  const now = performance.now();
  histogram.recordValue(Math.max(1, Math.round((now - startedAt) * MICROSECONDS_PER_MILLISECOND)));
  return now;
};

/** Sends requests at fixed times, regardless of earlier answers, and waits for all answers. */
export const runLoad = async (options: LoadOptions): Promise<LoadResult> => {
  const { requestsPerSecond, seconds, isStream } = options;
  const pool = new Pool(`http://${options.address}`, { connections: CONNECTIONS });
  const firstPiece = createHistogram();
  const wholeAnswer = createHistogram();
  const gaps = createHistogram();
  const failures = new Map<string, number>();
  const texts = new Map<string, number>();
  let answered = 0;
  let pieces = 0;
  const headers = {
    'content-type': 'application/json',
    ...(options.authorization === undefined ? {} : { authorization: options.authorization }),
  };
  const body = JSON.stringify({
    model: options.model,
    messages: [{ role: 'user', content: options.text ?? TEXT }],
    ...(isStream ? { stream: true } : {}),
  });

  const readAnswer = async (chunks: AsyncIterable<Buffer>, intendedAt: number): Promise<void> => {
    let last = 0;
    let text = '';
    for await (const chunk of chunks) {
      const part = chunk.toString('utf8');
      const count = isStream ? part.split('data: ').length - 1 : 1;
      pieces += count;
      if (last === 0) last = recordSince(firstPiece, intendedAt);
      else last = recordSince(gaps, last);
      for (let extra = 1; extra < count; extra += 1) gaps.recordValue(1);
      text += part;
    }
    recordSince(wholeAnswer, intendedAt);
    addCount(texts, [...text.matchAll(WORD)].map((match) => match[1]).join(''));
  };

  const send = async (intendedAt: number): Promise<void> => {
    try {
      const response = await pool.request({ path: PATH, method: 'POST', headers, body });
      if (response.statusCode !== 200) {
        await response.body.dump();
        addCount(failures, `status ${response.statusCode}`);
        return;
      }
      await readAnswer(response.body, intendedAt);
      answered += 1;
    } catch (cause) {
      addCount(failures, (cause as Error).message);
    }
  };

  const total = Math.round(requestsPerSecond * seconds);
  const intervalMs = MILLISECONDS_PER_SECOND / requestsPerSecond;
  const open: Promise<void>[] = [];
  const startedAt = performance.now();
  for (let sent = 0; sent < total;) {
    const due = Math.min(total, Math.floor((performance.now() - startedAt) / intervalMs) + 1);
    for (; sent < due; sent += 1) open.push(send(startedAt + sent * intervalMs));
    if (sent < total) await sleep(1);
  }
  await Promise.all(open);
  const elapsedSeconds = (performance.now() - startedAt) / MILLISECONDS_PER_SECOND;
  await pool.close();
  return {
    sent: total,
    answered,
    failures,
    firstPiece,
    wholeAnswer,
    gaps,
    pieces,
    texts,
    elapsedSeconds,
  };
};

/** Returns a percentile in milliseconds. */
export const readPercentile = (histogram: Histogram, percentile: number): number =>
  histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;

/** Formats failures for a report. */
export const formatFailures = (failures: ReadonlyMap<string, number>): string =>
  [...failures].map(([name, count]) => `${name}: ${count}`).join(', ') || 'none';
