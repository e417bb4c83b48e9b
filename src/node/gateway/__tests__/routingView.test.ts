import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import pino from 'pino';
import { Right } from 'purify-ts';
import type { RoutingAnswer } from '../../routingControl';
import type { RpcClient } from '../../rpc';
import { createLeaseClock } from '../leaseClock';
import { createRoutingView, formatRolloutKey, resolveStartTimes } from '../routingView';

const ROLLOUT = { service: 's', target: 'v2', durationMs: 24_000, stage: 'canary' } as const;
const KEY = formatRolloutKey(ROLLOUT);

const cases = [
  { name: 'no host knows it yet', known: undefined, ageMs: undefined, startedAt: 10_000 },
  { name: 'the gateway started later', known: undefined, ageMs: 9_000, startedAt: 1_000 },
  { name: 'the control host started later', known: 2_000, ageMs: 500, startedAt: 2_000 },
  { name: 'the control host knew it earlier', known: 2_000, ageMs: 8_100, startedAt: 1_900 },
] as const;

for (const { name, known, ageMs, startedAt } of cases) {
  test(`start time of a roll-out: ${name}`, (t) => {
    const times = resolveStartTimes({
      rollouts: [ROLLOUT],
      ages: ageMs === undefined ? [] : [{ service: 's', target: 'v2', ageMs }],
      known: known === undefined ? undefined : new Map([[KEY, known]]),
      now: 10_000,
    });
    t.is(times.get(KEY), startedAt);
  });
}

const HOST = 'control';

const createUpdate = (
  revision: number,
  evacuatedZones: readonly string[] | undefined,
): RoutingAnswer => ({
  revision,
  leader: HOST,
  controlHosts: [HOST],
  gatewayCount: 1,
  update: {
    config: {
      version: 1,
      routes: [],
      services: [],
      organisations: [],
      limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    },
    rollouts: [],
    retired: [],
    evacuatedZones,
  },
});

const createUnchanged = (revision: number): RoutingAnswer => ({
  ...createUpdate(revision, undefined),
  update: undefined,
});

const zoneAnswers: readonly {
  readonly name: string;
  readonly answers: readonly RoutingAnswer[];
  readonly zones: readonly string[];
  /** Log lines about a change of the zones. */
  readonly changes: number;
}[] = [
  {
    name: 'a zone is evacuated',
    answers: [createUpdate(1, []), createUpdate(2, ['a'])],
    zones: ['a'],
    changes: 1,
  },
  {
    name: 'an evacuation ends',
    answers: [createUpdate(1, ['a', 'b']), createUpdate(2, ['b'])],
    zones: ['b'],
    changes: 2,
  },
  {
    name: 'a gateway that starts during an evacuation knows it at once',
    answers: [createUpdate(7, ['a'])],
    zones: ['a'],
    changes: 1,
  },
  {
    name: 'an answer without changes keeps the zones',
    answers: [createUpdate(1, ['a']), createUnchanged(1)],
    zones: ['a'],
    changes: 1,
  },
  {
    name: 'a host that lags behind does not bring an ended evacuation back',
    answers: [createUpdate(1, ['a']), createUpdate(2, []), createUpdate(1, ['a'])],
    zones: [],
    changes: 2,
  },
  {
    name: 'an older host does not know of evacuations',
    answers: [createUpdate(1, undefined)],
    zones: [],
    changes: 0,
  },
];

for (const { name, answers, zones, changes } of zoneAnswers) {
  test(`evacuated zones at a gateway: ${name}`, async (t) => {
    const lines: string[] = [];
    let calls = 0;
    const view = createRoutingView({
      gateway: 'g',
      controlHosts: [HOST],
      leaseMs: 10_000,
      rpc: {
        call: (async () => {
          await sleep(1);
          calls += 1;
          return Right(answers[Math.min(calls, answers.length) - 1]!);
        }) as RpcClient['call'],
      },
      clock: createLeaseClock(),
      log: pino({ level: 'info' }, { write: (line: string) => lines.push(line) }),
      listTallies: () => [],
    });
    view.start();
    t.teardown(view.stop);
    // One more call shows that the answers before it have been applied.
    while (calls <= answers.length) await sleep(1);
    t.deepEqual([...(view.read()?.evacuatedZones ?? [])], [...zones]);
    t.is(lines.filter((line) => line.includes('evacuated zones changed')).length, changes);
  });
}
