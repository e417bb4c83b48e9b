import test from 'ava';
import { Left, Right } from 'purify-ts';
import pino from 'pino';
import { isCanarySession } from '../../decisions';
import { createError } from '../../errors';
import { createRouteTable } from '../../routing';
import { createSessionDirectory, type BindSessionsParams } from '../../routingControl';
import type { RpcClient } from '../../rpc';
import { formatRolloutKey, type RoutingSnapshot } from '../routingView';
import { createSessionExchange } from '../sessionExchange';
import { createSessionVersions } from '../sessionVersions';

const SESSION_MS = 5_000;
const EXPOSURE_SHARE = 0.15;
const ROLLOUT = { service: 's', target: 'v2', durationMs: 24_000, stage: 'canary' } as const;

const findSession = (isCanary: boolean): string =>
  Array.from({ length: 1_000 }, (_item, index) => `session-${index}`).find(
    (session) => isCanarySession(ROLLOUT, session, EXPOSURE_SHARE) === isCanary,
  )!;

const CANARY = findSession(true);
const OTHER = findSession(false);

const createSnapshot = (stage: 'canary' | 'early'): RoutingSnapshot => ({
  revision: 1,
  table: createRouteTable({
    version: 1,
    routes: [],
    services: [],
    organisations: [],
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  }),
  rollouts: [{ ...ROLLOUT, stage }],
  retired: [],
  rolloutStartedAt: new Map([[formatRolloutKey(ROLLOUT), 0]]),
  gatewayCount: 2,
  evacuatedZones: new Set(),
});

type Call = RpcClient['call'];

const createFailingCall = (): Call => async () =>
  Left(createError({ type: 'unavailable', message: 'no answer', step: 'test' }));

/** Answers as a control host that has had reports for long enough and knows the given version. */
const createDirectoryCall = (knownVersion: string | undefined, now: number): Call => {
  const directory = createSessionDirectory();
  const recorded =
    knownVersion === undefined ? [] : [{ service: 's', session: CANARY, version: knownVersion }];
  const base = { gateway: 'other', sessionMs: SESSION_MS, claimed: [] };
  for (const at of [now - 1_500, now - 1_000, now - 500]) {
    directory.bind({ ...base, recorded }, at);
  }
  return (async (_address: string, _method: string, params: unknown) =>
    Right(directory.bind(params as BindSessionsParams, now))) as Call;
};

const createEmptyDirectoryCall = (now: number): Call => {
  const directory = createSessionDirectory();
  return (async (_address: string, _method: string, params: unknown) =>
    Right(directory.bind(params as BindSessionsParams, now))) as Call;
};

const cases = [
  {
    name: 'a new session gets the new version',
    now: 9_000,
    call: createDirectoryCall(undefined, 9_000),
    version: 'v2',
  },
  {
    name: 'a session of the previous version at another gateway keeps it',
    now: 9_000,
    call: createDirectoryCall('v1', 9_000),
    version: 'v1',
  },
  {
    name: 'a session of the new version at another gateway keeps it soon after the start',
    now: 3_000,
    call: createDirectoryCall('v2', 3_000),
    version: 'v2',
  },
  {
    name: 'a session that may predate the roll-out gets the previous version',
    now: 3_000,
    call: createDirectoryCall(undefined, 3_000),
    version: 'v1',
  },
  {
    name: 'a control host without the sessions of all gateways',
    now: 9_000,
    call: createEmptyDirectoryCall(9_000),
    version: 'v1',
  },
  {
    name: 'no answer from the control host',
    now: 9_000,
    call: createFailingCall(),
    version: 'v1',
  },
  {
    name: 'a session outside the canary share is not looked up',
    now: 9_000,
    session: OTHER,
    call: createFailingCall(),
    version: undefined,
  },
  {
    name: 'a session is not looked up after the canary stage',
    now: 9_000,
    stage: 'early',
    call: createFailingCall(),
    version: undefined,
  },
] as const;

for (const item of cases) {
  test(`binding an unknown session: ${item.name}`, async (t) => {
    const { now, call, version } = item;
    const session = 'session' in item ? item.session : CANARY;
    const sessions = createSessionVersions(SESSION_MS);
    const exchange = createSessionExchange({
      gateway: 'g',
      sessionMs: SESSION_MS,
      exposureShare: EXPOSURE_SHARE,
      rpc: { call },
      log: pino({ level: 'silent' }),
      sessions,
      registry: {
        listEndpoints: () =>
          ['v2', 'v1'].map((name) => ({
            report: {
              id: name,
              startedAt: 1,
              sequence: 1,
              service: 's',
              address: '127.0.0.1:1',
              zone: 'a',
              version: name,
              slots: 1,
              state: 'ready',
              warmupMs: 0,
              models: [],
            },
            isReady: true,
          })),
      },
      readNow: () => now,
      readSnapshot: () => undefined,
      findControlHost: () => '127.0.0.1:1',
    });
    const snapshot = createSnapshot('stage' in item ? item.stage : 'canary');
    await exchange.bindUnknown(snapshot, 's', session);
    t.is(sessions.find('s', session, now)?.version, version);
  });
}
