import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import pino from 'pino';
import { Registry } from 'prom-client';
import { Right } from 'purify-ts';
import { createWindowBudget } from '../../decisions';
import { createByteBudget } from '../byteBudget';
import { createEndpointLoads } from '../endpointLoads';
import { createGatewayMetrics } from '../gatewayMetrics';
import type { AttemptContext } from '../attemptRecords';
import { relayResponse } from '../relayResponse';
import { createVersionTallies } from '../versionTallies';
import { createRoute } from './harness';

const GAP_TARGET_MS = 100;
/** Shorter than the stall timeout, which is 1.5 times the target gap. */
const EVENT_GAP_MS = 50;
/** Longer than the stall timeout. */
const SLOW_WRITE_MS = 400;

const createContext = (writeMs: number): AttemptContext => {
  const route = createRoute({ kind: 'stream', canResume: true, gapTargetMs: GAP_TARGET_MS });
  let isStarted = false;
  const exchange = {
    request: {
      route,
      account: createByteBudget(10_000).openAccount(),
      caller: { requestId: 'id-1', promptBlocks: [] },
      receivedAt: 0,
    },
    reply: {
      isStarted: () => isStarted,
      start: () => {
        isStarted = true;
      },
      write: () => sleep(writeMs),
      end: () => {},
    },
    tried: new Set<string>(),
    attempts: 0,
    events: 0,
    isFinished: false,
  };
  const head = {
    status: 200,
    requestId: 'id-1',
    isNotRun: false,
    retryAfterMs: undefined,
    confidence: undefined,
    requestsPerSecond: undefined,
    isLeaving: false,
    contentKind: 'events' as const,
    isCloseDelimited: false,
    isEncoded: false,
    forwarded: [],
  };
  async function* readBody(): AsyncGenerator<Buffer> {
    yield Buffer.from('id: 1\ndata: a\n\n');
    await sleep(EVENT_GAP_MS);
    yield Buffer.from('id: 2\ndata: b\n\n');
  }
  return {
    deps: {
      loads: createEndpointLoads(),
      limits: { record: () => {} },
      quarantine: { recordAnswer: () => {}, recordLoss: () => {} },
      tallies: createVersionTallies(),
      metrics: createGatewayMetrics(new Registry()),
      log: pino({ level: 'silent' }),
      readNow: () => performance.now(),
    },
    exchange,
    endpoint: { id: 'e-0', service: 's', version: 'v1' },
    attempt: { head: Promise.resolve(Right(head)), readBody, cancel: () => {} },
    startedAt: performance.now(),
    eventsBefore: 0,
    budget: createWindowBudget({ ratio: 1, slack: 1, windowMs: 1_000 }),
    loadEntry: { endPrefill: () => {}, release: () => {} },
    queueMs: 0,
    uncachedTokens: 0,
  } as unknown as AttemptContext;
};

for (const writeMs of [0, SLOW_WRITE_MS]) {
  test(`a caller that takes ${writeMs} ms for each event does not make the endpoint look stalled`, async (t) => {
    const context = createContext(writeMs);
    t.deepEqual(await relayResponse(context), { type: 'done', status: 200 });
    t.is(context.exchange.events, 2);
  });
}
