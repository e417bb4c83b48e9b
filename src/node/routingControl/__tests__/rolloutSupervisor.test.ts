import test from 'ava';
import { Right } from 'purify-ts';
import { pino } from 'pino';
import { createRegistry } from '../../registry';
import {
  createRolloutSupervisor,
  createRoutingState,
  type RoutingCommand,
  type VersionTally,
} from '..';

const DURATION_MS = 24_000;

const createTally = (version: string, requests: number): VersionTally => ({
  service: 's',
  version,
  task: 'r/m',
  requests,
  errors: 0,
  times: requests,
  logTimeSum: requests,
  logTimeSquares: requests,
});

const createReport = (id: string, version: string) => ({
  id,
  startedAt: 1,
  sequence: 1,
  service: 's',
  address: `10.0.0.${id}:1`,
  zone: 'a',
  version,
  slots: 4,
  state: 'ready' as const,
  warmupMs: 0,
  models: [],
});

// The leader fails during a roll-out. The next leader has observed the roll-out for 500 ms only, so
// it must take the start time from the ages that gateways report.
const cases = [
  { name: 'gateways have known of it for 14 s', ageMs: 14_000, stage: 'early' },
  { name: 'gateways have known of it for 0.3 s', ageMs: 300, stage: 'canary' },
  {
    name: 'gateways know of a roll-out to another target',
    ageMs: 14_000,
    target: 'v9',
    stage: 'canary',
  },
] as const;

for (const { name, ageMs, stage, ...rest } of cases) {
  test(`a new leader continues a roll-out: ${name}`, async (t) => {
    const state = createRoutingState();
    const target = 'v2';
    state.apply(1, { type: 'startRollout', service: 's', target, durationMs: DURATION_MS });
    const registry = createRegistry({ reportTimeoutMs: 10_000, retentionMs: 10_000 });
    registry.applyReport(createReport('1', 'v1'), 0);
    registry.applyReport(createReport('2', 'v2'), 0);
    let now = 0;
    const supervisor = createRolloutSupervisor({
      replica: {
        status: () => ({ role: 'leader' }) as never,
        propose: async (command) => Right({ result: state.apply(2, command), index: 2 }) as never,
      },
      state,
      registry,
      log: pino({ level: 'silent' }),
      readNow: () => now,
    });
    await supervisor.advance();
    now = 500;
    supervisor.recordTallies({
      gateway: 'g',
      bootId: 'b',
      tallies: [createTally('v1', 200), createTally('v2', 30)],
      rolloutAges: [{ service: 's', target: 'target' in rest ? rest.target : target, ageMs }],
    });
    await supervisor.advance();
    t.is(state.listRollouts()[0]?.stage, stage);
  });
}

// Around a hand-over, the former leader may not know yet that another host leads. Both judge the
// same stage; their proposals enter the log in some order, perhaps late.
const handovers = [
  { name: 'both at once', between: undefined, stage: 'early' },
  { name: 'one after the next stage was reached', between: 'ramp', stage: 'ramp' },
  { name: 'one after the roll-out was rolled back', between: 'rolledBack', stage: 'rolledBack' },
] as const;

for (const { name, between, stage } of handovers) {
  test(`two leaders advance a roll-out once: ${name}`, async (t) => {
    const state = createRoutingState();
    const target = 'v2';
    state.apply(1, { type: 'startRollout', service: 's', target, durationMs: DURATION_MS });
    const proposals: RoutingCommand[] = [];
    let now = 0;
    const createLeader = () => {
      const registry = createRegistry({ reportTimeoutMs: 10_000, retentionMs: 10_000 });
      registry.applyReport(createReport('1', 'v1'), 0);
      registry.applyReport(createReport('2', 'v2'), 0);
      return createRolloutSupervisor({
        replica: {
          status: () => ({ role: 'leader' }) as never,
          propose: async (command) => {
            proposals.push(command);
            return Right({ result: { type: 'done' }, index: 2 }) as never;
          },
        },
        state,
        registry,
        log: pino({ level: 'silent' }),
        readNow: () => now,
      });
    };
    const leaders = [createLeader(), createLeader()];
    for (const leader of leaders) await leader.advance();
    now = 500;
    for (const leader of leaders) {
      leader.recordTallies({
        gateway: 'g',
        bootId: 'b',
        tallies: [createTally('v1', 200), createTally('v2', 30)],
        rolloutAges: [{ service: 's', target, ageMs: 14_000 }],
      });
      await leader.advance();
    }
    t.is(proposals.length, 2, 'both act on the same stage');
    state.apply(2, proposals[0]!);
    t.is(state.listRollouts()[0]?.stage, 'early');
    if (between) {
      state.apply(3, { type: 'advanceRollout', service: 's', target, from: 'early', to: between });
    }
    state.apply(4, proposals[1]!);
    t.is(state.listRollouts()[0]?.stage, stage);
  });
}
