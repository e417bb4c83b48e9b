import test from 'ava';
import pino from 'pino';
import { Left, Right } from 'purify-ts';
import { createError } from '../../errors';
import type { ClaimProbeAnswer, ClaimProbeParams } from '../../routingControl';
import type { RpcClient } from '../../rpc';
import { createRequestGuard } from '../requestGuard';
import type { QuarantineHold } from '../requestQuarantine';

const REQUEST = { service: 's', fingerprint: 'f', blocks: [{ id: 'b', tokens: 100 }] };

const createHold = (
  waitMs: number,
  id = 'b',
  kind: QuarantineHold['kind'] = 'shared_block',
): QuarantineHold => ({
  service: 's',
  kind,
  id,
  level: 1,
  losses: 2,
  waitMs,
});

const createCall = (answer: ClaimProbeAnswer): RpcClient['call'] =>
  (async () => Right(answer)) as RpcClient['call'];

const granted = createCall({ isGranted: true });
const denied = createCall({ isGranted: false });
const createFailure: RpcClient['call'] = async () =>
  Left(createError({ type: 'unavailable', message: 'no answer', step: 'test' }));

const cases = [
  { name: 'no quarantined block', holds: [], call: createFailure, type: 'free' },
  {
    name: 'a hold that lasts',
    holds: [createHold(2_500)],
    call: granted,
    type: 'refused',
    retryAfterMs: 2_500,
  },
  { name: 'a due probe that is granted', holds: [createHold(0)], call: granted, type: 'probe' },
  {
    name: 'a due probe that another gateway has got',
    holds: [createHold(0)],
    call: denied,
    type: 'refused',
    retryAfterMs: 1_000,
  },
  {
    name: 'a due probe without an answer of the control host',
    holds: [createHold(0)],
    call: createFailure,
    type: 'refused',
    retryAfterMs: 1_000,
  },
  {
    name: 'a due probe without a known control host',
    holds: [createHold(0)],
    call: granted,
    hasHost: false,
    type: 'refused',
    retryAfterMs: 1_000,
  },
  {
    name: 'a due probe by a request that may have run',
    holds: [createHold(0)],
    call: granted,
    canProbe: false,
    type: 'refused',
    retryAfterMs: 1_000,
  },
  {
    name: 'two blocks, one of which is not due',
    holds: [createHold(0), createHold(9_000, 'c')],
    call: granted,
    type: 'refused',
    retryAfterMs: 9_000,
  },
  {
    name: 'two blocks that are due, of which the later one alone is tested',
    holds: [createHold(0, 'head'), createHold(0, 'dead')],
    call: granted,
    type: 'probe',
    claims: ['dead'],
  },
  {
    name: 'a request that is due for a probe',
    holds: [createHold(0, 'f', 'request'), createHold(0, 'own', 'own_block')],
    call: granted,
    type: 'probe',
  },
  {
    name: 'a request that is due, of which a shared block is due as well',
    holds: [createHold(0), createHold(0, 'f', 'request')],
    call: granted,
    type: 'probe',
    claims: ['f'],
  },
  {
    name: 'a request that is due, of which a shared block is not',
    holds: [createHold(2_000), createHold(0, 'f', 'request')],
    call: granted,
    type: 'refused',
    retryAfterMs: 2_000,
  },
] as const;

for (const { name, holds, call, type, ...rest } of cases) {
  test(`check of a prompt: ${name}`, async (t) => {
    const hasHost = !('hasHost' in rest);
    const claims: string[] = [];
    const callAndCount: RpcClient['call'] = (host, method, params, options) => {
      claims.push((params as ClaimProbeParams).block);
      return call(host, method, params, options);
    };
    const guard = createRequestGuard({
      quarantine: { listHolds: () => holds, applyPeerSuspects: () => {} },
      rpc: { call: callAndCount },
      log: pino({ level: 'silent' }),
      readNow: () => 0,
      findControlHost: () => (hasHost ? '127.0.0.1:1' : undefined),
    });
    const verdict = await guard.check(REQUEST, 'request', !('canProbe' in rest));
    t.is(verdict.type, type);
    if ('claims' in rest) t.deepEqual(claims, [...rest.claims]);
    if (verdict.type === 'refused' && 'retryAfterMs' in rest) {
      t.is(verdict.retryAfterMs, rest.retryAfterMs);
    }
  });
}
