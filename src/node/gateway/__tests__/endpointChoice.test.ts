import test from 'ava';
import type { EndpointReport, KnownEndpoint } from '../../registry';
import { createRouteTable, type RolloutStage } from '../../routing';
import type { ColdShortage } from '../coldPermits';
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

const ENGINE_TABLE = createRouteTable({
  ...TABLE.config,
  services: [
    {
      name: 's',
      connectionLimit: 100,
      engine: { slots: 8, cacheTokens: 10_000, tokensPerEvent: 1, models: [] },
    },
  ],
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
    evacuatedZones: new Set(),
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
    coldPermits: { isWarm: () => true, canSend: () => true, computeRetryMs: () => 0 },
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

interface ZoneCase {
  readonly name: string;
  readonly evacuated: readonly string[];
  /** Zone and version of each endpoint. */
  readonly endpoints: readonly (readonly [string, string])[];
  /** Endpoints that were tried for this request, by their position. */
  readonly tried?: readonly number[];
  readonly sessionVersion?: string;
  readonly stage?: RolloutStage;
  /** The only zone that may be chosen, or the reason of the refusal. */
  readonly zone?: string;
  readonly refusal?: string;
}

const EVACUATED = 'all endpoints are in evacuated zones';

const zoneCases: readonly ZoneCase[] = [
  {
    name: 'the own zone is left out while another one has endpoints',
    evacuated: ['a'],
    endpoints: [
      ['a', 'v1'],
      ['b', 'v1'],
    ],
    zone: 'b',
  },
  {
    name: 'the zone is used again after the end of the evacuation',
    evacuated: [],
    endpoints: [['a', 'v1']],
    zone: 'a',
  },
  {
    name: 'a retry does not go to an evacuated zone',
    evacuated: ['b'],
    endpoints: [
      ['a', 'v1'],
      ['b', 'v1'],
      ['c', 'v1'],
    ],
    tried: [0],
    zone: 'c',
  },
  {
    name: 'a retry with no endpoint left outside evacuated zones is refused',
    evacuated: ['b'],
    endpoints: [
      ['a', 'v1'],
      ['b', 'v1'],
    ],
    tried: [0],
    refusal: EVACUATED,
  },
  {
    name: 'a request is refused when all zones are evacuated',
    evacuated: ['a', 'b'],
    endpoints: [
      ['a', 'v1'],
      ['b', 'v1'],
    ],
    refusal: EVACUATED,
  },
  {
    name: 'an evacuation is not blamed when the service has no endpoint',
    evacuated: ['a'],
    endpoints: [],
    refusal: 'no endpoint accepts requests',
  },
  // Like an endpoint that has left, one in an evacuated zone can't keep a session's version.
  {
    name: 'a session whose version is only in an evacuated zone gets another version',
    evacuated: ['a'],
    endpoints: [
      ['a', 'v1'],
      ['b', 'v2'],
    ],
    sessionVersion: 'v1',
    stage: 'canary',
    zone: 'b',
  },
  {
    name: 'an evacuation is not blamed for a version that gets no traffic anyway',
    evacuated: ['a'],
    endpoints: [['a', 'v1']],
    stage: 'completed',
    refusal: 'no endpoint accepts requests',
  },
];

// The same rule holds for plain services and for prompts to engines.
for (const kind of ['plain service', 'engine'] as const) {
  for (const item of zoneCases) {
    test(`evacuated zones, ${kind}: ${item.name}`, (t) => {
      const reports = item.endpoints.map(([zone, version], index) => ({
        ...createReport(`e-${index}`, version),
        zone,
      }));
      const sessions = createSessionVersions(SESSION_MS);
      if (item.sessionVersion !== undefined) {
        const { sessionVersion: version } = item;
        sessions.record({ service: 's', session: 'one', version }, 8_900);
      }
      const chooser = createEndpointChooser({
        limits: { canSend: () => true },
        coldPermits: { isWarm: () => true, canSend: () => true, computeRetryMs: () => 0 },
        backoffs: { findEnd: () => undefined },
        zone: 'a',
        sessionMs: SESSION_MS,
        exposureShare: 0.15,
        loads: createEndpointLoads(),
        sessions,
        cacheEstimates: createPrefixCacheEstimates(() => undefined),
        registry: { listEndpoints: () => reports.map((report) => ({ report, isReady: true })) },
      });
      const isEngine = kind === 'engine';
      const table = isEngine ? ENGINE_TABLE : TABLE;
      const snapshot = {
        ...createSnapshot(item.stage, 0),
        table,
        evacuatedZones: new Set(item.evacuated),
      };
      const tried = new Set((item.tried ?? []).map((index) => `e-${index}`));
      for (let index = 0; index < 50; index += 1) {
        const promptBlocks = isEngine ? [{ id: `block-${index}`, tokens: 100 }] : [];
        const caller = { ...createCaller('one'), requestId: `id-${index}`, promptBlocks };
        const request = {
          route: ROUTE,
          caller,
          model: undefined,
          timeLeftMs: 1_000,
          tried,
          rank: ROUTE.rank,
        };
        const choice = chooser.choose(snapshot, request, 9_000);
        const found = choice.type === 'refused' ? choice.reason : choice.endpoint.zone;
        t.is(found, (item.refusal ?? item.zone)!);
      }
    });
  }
}

interface ColdCase {
  readonly name: string;
  /** Endpoints that are known to be warm, and those that a permit is left for. */
  readonly warm: readonly string[];
  readonly permitted: readonly string[];
  /** Requests running at each warm endpoint, which has 8 slots. */
  readonly running?: number;
  readonly chosen: string | undefined;
  readonly coldShortage: ColdShortage | undefined;
}

const coldCases: readonly ColdCase[] = [
  {
    name: 'a warm endpoint goes before a cold one with a permit',
    warm: ['a'],
    permitted: ['b'],
    running: 4,
    chosen: 'a',
    coldShortage: undefined,
  },
  {
    name: 'a permit is used while the warm endpoints are full',
    warm: ['a'],
    permitted: ['b'],
    running: 24,
    chosen: 'b',
    coldShortage: 'permitted',
  },
  {
    name: 'a request is refused while the warm endpoints are full and no permit is left',
    warm: ['a'],
    permitted: [],
    running: 24,
    chosen: undefined,
    coldShortage: 'refused',
  },
  {
    name: 'a permit is used while no endpoint is warm',
    warm: [],
    permitted: ['b'],
    chosen: 'b',
    coldShortage: 'permitted',
  },
  {
    name: 'a request is refused while no endpoint is warm and no permit is left',
    warm: [],
    permitted: [],
    chosen: undefined,
    coldShortage: 'refused',
  },
];

// Guards against cold endpoints that are sent requests without a permit, and against permits that
// are used while warm endpoints have room.
for (const { name, warm, permitted, running = 0, chosen, coldShortage } of coldCases) {
  test(`cold endpoints: ${name}`, (t) => {
    const loads = createEndpointLoads();
    warm.forEach((id) =>
      Array.from({ length: running }, () => loads.add(id, { sentAt: 0, prefillMs: 0 })),
    );
    const chooser = createEndpointChooser({
      limits: { canSend: () => true },
      coldPermits: {
        isWarm: ({ id }) => warm.includes(id),
        canSend: ({ id }) => warm.includes(id) || permitted.includes(id),
        computeRetryMs: () => 321,
      },
      backoffs: { findEnd: () => undefined },
      zone: 'a',
      sessionMs: SESSION_MS,
      exposureShare: 0.15,
      loads,
      sessions: createSessionVersions(SESSION_MS),
      cacheEstimates: createPrefixCacheEstimates(() => undefined),
      registry: {
        listEndpoints: () =>
          ['a', 'b'].map((id) => ({ report: createReport(id, 'v1'), isReady: true })),
      },
    });
    const request = {
      route: ROUTE,
      caller: createCaller(undefined),
      model: undefined,
      timeLeftMs: 1_000,
      tried: new Set<string>(),
      rank: ROUTE.rank,
    };
    const choice = chooser.choose(createSnapshot(undefined, 0), request, 0);
    t.is(choice.type === 'placed' ? choice.endpoint.id : undefined, chosen);
    t.is(choice.coldShortage, coldShortage);
    if (choice.type === 'refused' && warm.length === 0) t.is(choice.retryAfterMs, 321);
  });
}
