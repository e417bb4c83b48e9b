import test from 'ava';
import { Right } from 'purify-ts';
import { createGrantHolder, createLearning, type Learning } from '../../../decisions';
import { createDraw, sampleScore } from '../../../decisions/__tests__/samples';
import { inventorySchema } from '../../../inventory';
import { createLedgerState, type LedgerCommand, type LedgerResult } from '../../../ledger';
import { createRootLogger } from '../../../log';
import type { Replica } from '../../../replication';
import type { Rollout } from '../../../view';
import { createConfigState, type ConfigCommand, type ConfigResult } from '../../configState';
import type { ControlContext } from '../../controlContext';
import { createPolicyService, type PolicyService } from '..';

interface Host {
  readonly context: ControlContext;
  readonly updateTerm: (term: number) => void;
  readonly readRollout: () => Rollout | undefined;
  readonly propose: (command: ConfigCommand) => ConfigResult;
}

const ROLLOUT: Rollout = {
  model: 'small',
  from: 'v1',
  to: 'v2',
  step: 0,
  state: 'running',
  reason: 'started',
};

const createInventory = () =>
  inventorySchema.parse({
    zones: [{ name: 'z', region: 'r' }],
    models: [
      {
        name: 'small',
        stableVersion: 'v1',
        versions: [{ name: 'v1' }, { name: 'v2' }],
        inputCostPerThousand: 1,
        outputCostPerThousand: 1,
      },
    ],
    organisations: [
      { name: 'o', keyHashes: [], models: [{ name: 'small' }], cap: { requestsPerSecond: 20 } },
    ],
  });

/** Creates a control host whose group commits immediately. The term can be set. */
const createHost = (entries: readonly string[]): Host => {
  const configState = createConfigState();
  let term = 1;
  let index = 0;
  const propose = (command: ConfigCommand): ConfigResult => {
    index += 1;
    return configState.apply(index, command);
  };
  const readStatus = () => ({
    group: 'config',
    role: 'leader' as const,
    term,
    leader: 'c1',
    committed: index,
    applied: index,
    members: ['c1'],
  });
  const config = {
    propose: async (command: ConfigCommand) => Right({ index, term, result: propose(command) }),
    confirmRead: async () => Right({ term, index }),
    status: readStatus,
    stop: async () => {},
  } as unknown as Replica<ConfigCommand, ConfigResult>;
  const ledger = config as unknown as Replica<LedgerCommand, LedgerResult>;
  const log = createRootLogger({ level: 'silent', node: 'c1' });
  const ledgerState = createLedgerState();
  const ledgerFields = { ledger, ledgerState, ledgerShards: [] };
  const context: ControlContext = { config, configState, ...ledgerFields, leaseMs: 5_000, log };
  propose({ type: 'putInventory', base: 0, changeId: 'first', inventory: createInventory() });
  entries.forEach((node) => {
    const place = { role: 'entry', zone: 'z', host: node, address: node, bootId: node };
    propose({ type: 'register', node, ...place });
  });
  const readRollout = () =>
    configState
      .readUpdate(0, { role: 'entry', host: '' })
      .entries.filter((entry) => entry.kind === 'rollout')
      .map((entry) => entry.value as Rollout)[0];
  return {
    context,
    propose,
    readRollout,
    updateTerm: (next) => {
      term = next;
    },
  };
};

const ENTRIES = ['e1', 'e2', 'e3'] as const;
const callUnreachable = async () => {
  throw new Error('no other host');
};

const createService = (host: Host, readNow: () => number = () => 0): PolicyService =>
  createPolicyService({
    context: host.context,
    rpc: { call: callUnreachable },
    findLeaderAddress: () => undefined,
    readNow,
  });

const createLearnings = (): readonly Learning[] =>
  ENTRIES.map(() => createLearning({ halfLifeMs: 3_600_000, falseBrakeRate: 0.001 }));

const sendReports = async (
  host: Host,
  service: PolicyService,
  learnings: readonly Learning[],
): Promise<void> => {
  for (const [index, learning] of learnings.entries()) {
    const node = ENTRIES[index]!;
    const answer = await service.handleExchange({
      node,
      incarnation: host.context.configState.findNode(node)!.incarnation,
      demands: {},
      cells: learning.estimates.listChanged(0).map(({ name, tally }) => ({ name, tally })),
      rollouts: [...learning.listRollouts()],
    });
    answer.estimates.forEach((cell) => learning.estimates.updateShared({ ...cell, at: 0 }));
  }
};

const recordMany = (
  learnings: readonly Learning[],
  rollout: Rollout,
  version: string,
  mean: number,
  count: number,
): void => {
  const readDraw = createDraw(count + version.length);
  for (let index = 0; index < count; index += 1) {
    const name = { organisation: 'o', task: 't', model: 'small', version, isEscalated: false };
    learnings[index % learnings.length]!.record({
      name,
      isHighValue: false,
      observation: { type: 'rated', score: sampleScore(readDraw, mean) },
      rollout,
      now: 0,
    });
  }
};

const startRollout = (host: Host, changeId = 'go'): Rollout => {
  host.propose({ type: 'setRollout', base: 1, changeId, rollout: ROLLOUT });
  return host.readRollout()!;
};

interface Case {
  readonly title: string;
  readonly mean: number;
  readonly count: number;
  readonly expected: Partial<Rollout>;
}

const CASES: readonly Case[] = [
  { title: 'a version of equal quality advances', mean: 0.8, count: 240, expected: { step: 1 } },
  { title: 'a bad version is withdrawn', mean: 0.55, count: 45, expected: { state: 'aborted' } },
  {
    title: 'too few ratings hold the roll-out',
    mean: 0.8,
    count: 9,
    expected: { step: 0, state: 'running' },
  },
];

for (const { title, mean, count, expected } of CASES) {
  test(`combined counts of three entries: ${title}`, async (t) => {
    const host = createHost(ENTRIES);
    const service = createService(host);
    const learnings = createLearnings();
    const rollout = startRollout(host);
    recordMany(learnings, rollout, 'v1', 0.8, 900);
    recordMany(learnings, rollout, 'v2', mean, count);
    await sendReports(host, service, learnings);
    await service.advance();
    t.like(host.readRollout(), expected);
  });
}

test('a new leader continues at the current step, with the counts that entries still hold', async (t) => {
  const host = createHost(ENTRIES);
  const learnings = createLearnings();
  const rollout = startRollout(host);
  const first = createService(host);
  recordMany(learnings, rollout, 'v1', 0.8, 900);
  recordMany(learnings, rollout, 'v2', 0.8, 240);
  await sendReports(host, first, learnings);
  await first.advance();
  t.is(host.readRollout()?.step, 1);
  host.updateTerm(2);
  const second = createService(host);
  await second.advance();
  t.like(host.readRollout(), { step: 1, state: 'running' });
  recordMany(learnings, host.readRollout()!, 'v2', 0.5, 120);
  await sendReports(host, second, learnings);
  await second.advance();
  t.like(host.readRollout(), { state: 'aborted' });
});

test('a paused roll-out does not advance, and a late advance of the judge does not undo the pause', async (t) => {
  const host = createHost(ENTRIES);
  const service = createService(host);
  const learnings = createLearnings();
  const rollout = startRollout(host);
  host.propose({
    type: 'setRollout',
    base: 1,
    changeId: 'pause',
    rollout: { ...rollout, state: 'paused' },
  });
  host.propose({ type: 'advanceRollout', from: rollout, to: { ...rollout, step: 1 } });
  recordMany(learnings, rollout, 'v1', 0.8, 900);
  recordMany(learnings, rollout, 'v2', 0.8, 240);
  await sendReports(host, service, learnings);
  await service.advance();
  t.like(host.readRollout(), { step: 0, state: 'paused', id: rollout.id });
});

test('an entry halts a version on its own counts, also without a reachable control host', (t) => {
  const host = createHost(ENTRIES);
  const rollout = startRollout(host);
  const learning = createLearning({ halfLifeMs: 3_600_000, falseBrakeRate: 0.005 });
  recordMany([learning], rollout, 'v1', 0.8, 100);
  t.is(learning.findHaltReason(rollout), undefined);
  recordMany([learning], rollout, 'v2', 0.5, 20);
  t.regex(learning.findHaltReason(rollout) ?? '', /quality/);
  const again = { ...rollout, id: 'another' };
  t.is(learning.findHaltReason(again), undefined);
});

test('a version whose quality drops after its roll-out is withdrawn', async (t) => {
  const host = createHost(ENTRIES);
  const service = createService(host);
  const learnings = createLearnings();
  const rollout: Rollout = { ...startRollout(host), state: 'done', step: 7 };
  host.propose({ type: 'setRollout', base: 1, changeId: 'done', rollout });
  recordMany(learnings, rollout, 'v2', 0.85, 600);
  await sendReports(host, service, learnings);
  await service.advance();
  t.is(host.readRollout()?.state, 'done');
  recordMany(learnings, rollout, 'v2', 0.55, 120);
  await sendReports(host, service, learnings);
  await service.advance();
  t.is(host.readRollout()?.state, 'aborted');
});

test('the sum of grants never exceeds the cap across two terms', async (t) => {
  const host = createHost(['e1', 'e2']);
  let now = 0;
  const service = createService(host, () => now);
  const holders = [createGrantHolder(), createGrantHolder()];
  const callExchange = async (index: number): Promise<number> => {
    const node = ['e1', 'e2'][index]!;
    for (let count = 0; count < 30; count += 1) holders[index]!.acquire('o', 0, true, now);
    const { incarnation } = host.context.configState.findNode(node)!;
    const demands = Object.fromEntries(holders[index]!.listDemands(now));
    const answer = await service.handleExchange({
      node,
      incarnation,
      demands,
      cells: [],
      rollouts: [],
    });
    holders[index]!.install('o', answer.grants.o!, now + answer.lifetimeMs, now);
    return answer.grants.o!.requestsPerSecond ?? 0;
  };
  let rates = [0, 0];
  for (let round = 0; round < 12; round += 1) {
    if (round === 6) host.updateTerm(2);
    rates = [await callExchange(0), await callExchange(1)];
    now += 1_000;
    t.true(rates[0]! + rates[1]! <= 20);
  }
  t.true(rates[0]! + rates[1]! >= 18, String(rates));
});
