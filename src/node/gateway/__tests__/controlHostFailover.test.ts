import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import pino from 'pino';
import { Left, Right } from 'purify-ts';
import { createError } from '../../errors';
import type { RoutingAnswer, WatchRoutingParams } from '../../routingControl';
import type { CallOptions, RpcClient } from '../../rpc';
import { createLeaseClock } from '../leaseClock';
import { createRoutingView } from '../routingView';

const CUT_OFF = 'cut-off';
const GONE = 'gone';
const LEADER = 'leader';
const POLL_MS = 10;
/** Time within which a change must be in force. */
const PROPAGATION_MS = 2_000;

const createAnswer = (revision: number, leader: string): RoutingAnswer => ({
  revision,
  leader,
  controlHosts: [CUT_OFF, GONE, LEADER],
  gatewayCount: 1,
  update: {
    config: {
      version: revision,
      routes: [],
      services: [],
      organisations: [],
      limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    },
    rollouts: [],
    retired: [],
  },
});

test.serial(
  'a gateway learns a change in time while its control host is cut off and another is gone',
  async (t) => {
    // The order in which hosts are asked begins with the first one.
    const { random } = Math;
    Math.random = () => 0;
    t.teardown(() => {
      Math.random = random;
    });
    let isCutOff = false;
    const call = async (host: string, _method: string, params: unknown, options?: CallOptions) => {
      const { waitMs, revision } = params as WatchRoutingParams;
      if (host === LEADER) return Right(createAnswer(2, LEADER));
      if (host === GONE || isCutOff) {
        await sleep(options?.timeoutMs);
        return Left(createError({ type: 'timeout', message: 'no answer', step: 'test' }));
      }
      if (revision === 1) await sleep(waitMs / 10);
      return Right(createAnswer(1, CUT_OFF));
    };
    const view = createRoutingView({
      gateway: 'g',
      controlHosts: [CUT_OFF],
      leaseMs: 10_000,
      rpc: { call: call as RpcClient['call'] },
      clock: createLeaseClock(),
      log: pino({ level: 'silent' }),
      listTallies: () => [],
    });
    view.start();
    t.teardown(view.stop);
    while (view.read()?.revision !== 1) await sleep(POLL_MS);
    isCutOff = true;
    const cutAt = performance.now();
    while (view.read()?.revision !== 2) await sleep(POLL_MS);
    const elapsedMs = performance.now() - cutAt;
    t.true(elapsedMs < PROPAGATION_MS, `Learnt after ${Math.round(elapsedMs)} ms`);
  },
);

test.serial('a gateway keeps the count of gateways when its control host changes', async (t) => {
  const GATEWAYS = 68;
  let leader = LEADER;
  let calls = 0;
  const call = async (host: string) => {
    calls += 1;
    await sleep(POLL_MS);
    // A new leader has heard from this gateway only.
    const gatewayCount = leader === LEADER ? GATEWAYS : 1;
    return Right({
      ...createAnswer(1, leader),
      controlHosts: [LEADER, CUT_OFF],
      gatewayCount,
      host,
    });
  };
  const view = createRoutingView({
    gateway: 'g',
    controlHosts: [LEADER],
    leaseMs: 10_000,
    rpc: { call: call as RpcClient['call'] },
    clock: createLeaseClock(),
    log: pino({ level: 'silent' }),
    listTallies: () => [],
  });
  view.start();
  t.teardown(view.stop);
  while (!view.read()) await sleep(POLL_MS);
  t.is(view.read()?.gatewayCount, GATEWAYS);
  leader = CUT_OFF;
  const callsBefore = calls;
  while (calls < callsBefore + 5) await sleep(POLL_MS);
  t.is(view.read()?.gatewayCount, GATEWAYS);
});
