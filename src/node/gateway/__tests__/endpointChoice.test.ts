import test from 'ava';
import type { EndpointReport, KnownEndpoint } from '../../registry';
import { createRouteTable, type RolloutStage } from '../../routing';
import { createEndpointChooser, type EndpointChoice } from '../endpointChoice';
import { createEndpointLoads } from '../endpointLoads';
import { createPrefixCacheEstimates } from '../prefixCacheEstimates';
import { formatRolloutKey, type RoutingSnapshot } from '../routingView';
import { createSessionVersions, type SessionVersions } from '../sessionVersions';
import type { CallerHeaders } from '../types';
import { createRoute } from './harness';

const SESSION_MS = 5_000;

const ROUTE = createRoute({ isPublic: true });

const TABLE = createRouteTable({
  version: 1,
  routes: [ROUTE],
  services: [{ name: 's', connectionLimit: 100, engine: undefined }],
  organisations: [],
  limits: { headerBytes: 1_000, bodyBytes: 1_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 },
});

const createReport = (id: string, version: string): EndpointReport => ({
  id,
  startedAt: 1,
  sequence: 1,
  service: 's',
  address: '127.0.0.1:1',
  zone: 'a',
  version,
  slots: 8,
  state: 'ready',
  warmupMs: 0,
  models: [],
});

const createSnapshot = (stage: RolloutStage | undefined, seenAt: number): RoutingSnapshot => {
  const rollout = { service: 's', target: 'v2', durationMs: 24_000 };
  return {
    revision: 1,
    table: TABLE,
    rollouts: stage === undefined ? [] : [{ ...rollout, stage }],
    retired: [],
    rolloutStartedAt: new Map([[formatRolloutKey(rollout), seenAt]]),
    gatewayCount: 2,
  };
};

const createCaller = (session: string | undefined): CallerHeaders => ({
  requestId: 'id-1',
  host: ROUTE.host,
  apiKey: undefined,
  deadlineMs: 5_000,
  model: undefined,
  promptTokens: 0,
  answerTokens: 0,
  promptBlocks: [],
  session,
  lastEventId: undefined,
  forwarded: [],
});

const chooseFor = (
  sessions: SessionVersions,
  snapshot: RoutingSnapshot,
  session: string | undefined,
  now: number,
  versions: readonly string[] = ['v1', 'v2'],
): EndpointChoice => {
  const reports = versions.map((version) => createReport(`e-${version}`, version));
  const known: readonly KnownEndpoint[] = reports.map((report) => ({ report, isReady: true }));
  const chooser = createEndpointChooser({
    limits: { canSend: () => true },
    backoffs: { findEnd: () => undefined },
    zone: 'a',
    sessionMs: SESSION_MS,
    exposureShare: 0.15,
    loads: createEndpointLoads(),
    sessions,
    cacheEstimates: createPrefixCacheEstimates(() => undefined),
    registry: { listEndpoints: () => known },
  });
  const request = {
    route: ROUTE,
    caller: createCaller(session),
    model: undefined,
    timeLeftMs: 1_000,
    rank: 0,
    tried: new Set<string>(),
  };
  return chooser.choose(snapshot, request, now);
};

const bases = [
  { name: 'no roll-out', stage: undefined, now: 9_000, bound: undefined, reason: 'no roll-out' },
  {
    name: 'a session with a record',
    stage: 'canary',
    now: 9_000,
    bound: 'v1',
    reason: 'session',
  },
  {
    name: 'an unknown session soon after the start',
    stage: 'canary',
    now: 3_000,
    bound: undefined,
    reason: 'session may predate the roll-out',
  },
  {
    name: 'an unknown session later',
    stage: 'canary',
    now: 9_000,
    bound: undefined,
    reason: 'draw',
  },
  {
    name: 'a completed roll-out',
    stage: 'completed',
    now: 9_000,
    bound: 'v1',
    reason: 'roll-out completed',
  },
] as const;

for (const { name, stage, now, bound, reason } of bases) {
  test(`the choice says what decided the version: ${name}`, (t) => {
    const sessions = createSessionVersions(SESSION_MS);
    if (bound !== undefined)
      sessions.record({ service: 's', session: 'one', version: bound }, now - 100);
    const choice = chooseFor(sessions, createSnapshot(stage, 0), 'one', now);
    if (choice.type === 'refused') return t.fail(choice.reason);
    const { versionBasis } = choice;
    t.is(versionBasis.reason, reason);
    t.is(versionBasis.rolloutStage, stage);
    t.is(versionBasis.sessionVersion, bound);
    t.is(versionBasis.sessionAgeMs, bound === undefined ? undefined : 100);
    return t.false(versionBasis.isFallback);
  });
}

test('the choice says that no endpoint of the preferred version was available', (t) => {
  const sessions = createSessionVersions(SESSION_MS);
  sessions.record({ service: 's', session: 'one', version: 'v1' }, 8_900);
  const choice = chooseFor(sessions, createSnapshot('canary', 0), 'one', 9_000, ['v2']);
  t.true(choice.type === 'placed' && choice.versionBasis.isFallback);
});
