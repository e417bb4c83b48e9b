import test from 'ava';
import fc from 'fast-check';
import {
  chooseCulprits,
  computeHoldMs,
  countIndependentLosses,
  createSuspect,
  findDeeperCulprit,
  judgeSuspect,
  mergeSuspects,
  type EndpointLoss,
  type Suspect,
  type SuspicionVerdict,
} from '..';

const createLoss = (
  incarnation: string,
  startedAt: number,
  lostAt: number,
  companions: readonly string[] = [],
  isAnswering = true,
  requests: readonly string[] = [],
): EndpointLoss => ({ incarnation, startedAt, lostAt, isAnswering, companions, requests });

const createBlock = (fields: Partial<Suspect>): Suspect => ({
  ...createSuspect({ service: 's', kind: 'shared_block', id: 'b', depth: 1 }),
  ...fields,
});

const QUARANTINE = { level: 1, since: 0 };
const IN_A_ROW = [createLoss('e1', 0, 1_000), createLoss('e2', 1_100, 2_000)];
const AT_ONCE = [
  createLoss('e1', 0, 1_000),
  createLoss('e2', 200, 1_010),
  createLoss('e3', 300, 1_050),
];
/** Two requests that were in progress at the same time, lost one after the other. */
const OVERLAPPING = [createLoss('e1', 0, 1_000), createLoss('e2', 500, 2_000)];
/** Requests that wait at endpoints which crash under others. */
const WAITING = [1, 2, 3, 4, 5].map((index) =>
  createLoss(`e${index}`, index * 1_000 - 900, index * 1_000, [], false),
);
const SAME_REQUEST = [1, 2, 3].map((index) =>
  createLoss(`e${index}`, index * 1_000 - 900, index * 1_000, [], true, ['f']),
);
const CALM = { otherAttempts: 100, otherLosses: 0, otherAnsweringLosses: 0 };
const OUTAGE = { otherAttempts: 100, otherLosses: 60, otherAnsweringLosses: 50 };
const CRASHES = { otherAttempts: 100, otherLosses: 30, otherAnsweringLosses: 0 };

const judgements = [
  { name: 'two losses in a row', losses: IN_A_ROW, counts: CALM, isDeadly: true },
  { name: 'a single loss', losses: IN_A_ROW.slice(0, 1), counts: CALM, isDeadly: false },
  { name: 'losses of one moment', losses: AT_ONCE, counts: CALM, isDeadly: false },
  { name: 'two losses in an outage', losses: IN_A_ROW, counts: OUTAGE, isDeadly: false },
  { name: 'overlapping losses', losses: OVERLAPPING, counts: CALM, isDeadly: true },
  { name: 'two losses before a response', losses: WAITING.slice(3), counts: CALM, isDeadly: false },
  {
    name: 'three losses before a response',
    losses: WAITING.slice(2),
    counts: CALM,
    isDeadly: true,
  },
  {
    name: 'three losses before a response while many are lost so',
    losses: WAITING.slice(2),
    counts: CRASHES,
    isDeadly: false,
  },
  {
    name: 'two losses of a response that had begun while many are lost before',
    losses: IN_A_ROW,
    counts: CRASHES,
    isDeadly: true,
  },
  {
    name: 'two losses of a block that was answered before',
    losses: IN_A_ROW,
    answeredAt: -5_000,
    counts: CALM,
    isDeadly: false,
  },
  {
    name: 'three losses in a row of a block that was answered before',
    losses: [...IN_A_ROW, createLoss('e3', 2_100, 3_000)],
    answeredAt: -5_000,
    counts: CALM,
    isDeadly: true,
  },
  {
    name: 'three overlapping losses of a block that was answered before',
    losses: [...OVERLAPPING, createLoss('e3', 900, 3_000)],
    answeredAt: -5_000,
    counts: CALM,
    isDeadly: false,
  },
  {
    name: 'losses beside a quarantined block that was lost more often',
    losses: IN_A_ROW,
    quarantined: [
      createBlock({
        id: 'c',
        quarantine: QUARANTINE,
        losses: [...IN_A_ROW, createLoss('e3', 2_100, 3_000)],
      }),
    ],
    counts: CALM,
    isDeadly: false,
  },
  {
    name: 'losses beside a quarantined block that was lost as often',
    losses: IN_A_ROW,
    quarantined: [createBlock({ id: 'c', quarantine: QUARANTINE, losses: IN_A_ROW })],
    counts: CALM,
    isDeadly: true,
  },
  {
    name: 'losses in the prompts of one quarantined block',
    losses: [createLoss('e1', 0, 1_000, ['c']), createLoss('e2', 1_100, 2_000, ['c'])],
    quarantined: [createBlock({ id: 'c', quarantine: QUARANTINE })],
    counts: CALM,
    isDeadly: false,
  },
  {
    name: 'losses in the prompts of two quarantined blocks, which it has in common',
    losses: [createLoss('e1', 0, 1_000, ['c']), createLoss('e2', 1_100, 2_000, ['d'])],
    quarantined: ['c', 'd'].map((block) => createBlock({ id: block, quarantine: QUARANTINE })),
    counts: CALM,
    isDeadly: true,
  },
  {
    name: 'three losses of a block with the same request',
    losses: SAME_REQUEST,
    counts: CALM,
    isDeadly: false,
  },
  {
    name: 'losses of a block with two requests, one of them lost again',
    losses: [...SAME_REQUEST, createLoss('e4', 3_100, 4_000, [], true, ['g'])],
    counts: CALM,
    isDeadly: true,
  },
  {
    name: 'three losses of one request',
    losses: SAME_REQUEST,
    kind: 'request',
    counts: CALM,
    isDeadly: true,
  },
  {
    name: 'two losses of one request while many answers are lost',
    losses: SAME_REQUEST.slice(1),
    kind: 'request',
    counts: OUTAGE,
    isDeadly: false,
  },
  {
    name: 'three losses of one request while many answers are lost',
    losses: SAME_REQUEST,
    kind: 'request',
    counts: OUTAGE,
    isDeadly: true,
  },
] as const;

for (const { name, losses, counts, isDeadly, ...rest } of judgements) {
  test(`suspicion: ${name}`, (t) => {
    const kind = 'kind' in rest ? rest.kind : 'shared_block';
    const answeredAt = 'answeredAt' in rest ? rest.answeredAt : undefined;
    const quarantined = 'quarantined' in rest ? rest.quarantined : [];
    const suspect = createBlock({ kind, losses, answeredAt });
    t.is(judgeSuspect({ suspect, quarantined, ...counts }) !== undefined, isDeadly);
  });
}

const createVerdict = (
  fields: Partial<Suspect>,
  losses: number,
  isAnswering = true,
): SuspicionVerdict => ({ suspect: createBlock(fields), losses, needed: 2, isAnswering });

const choices = [
  {
    name: 'the block with most losses',
    verdicts: [createVerdict({ id: 'a' }, 4), createVerdict({ id: 'b', depth: 2 }, 2)],
    chosen: ['a'],
  },
  {
    name: 'the block whose responses had begun',
    verdicts: [createVerdict({ id: 'a' }, 2), createVerdict({ id: 'b', depth: 2 }, 4, false)],
    chosen: ['a'],
  },
  {
    name: 'of equal ones the last in the prompt',
    verdicts: [createVerdict({ id: 'a', depth: 0 }, 2), createVerdict({ id: 'b', depth: 2 }, 2)],
    chosen: ['b'],
  },
  {
    name: 'a shared block beside the own block of a request',
    verdicts: [
      createVerdict({ id: 'a', depth: 0 }, 2),
      createVerdict({ id: 'own', depth: 3, kind: 'own_block' }, 2),
    ],
    chosen: ['a', 'own'],
  },
  {
    name: 'a request that was lost more often than its blocks without it',
    verdicts: [
      createVerdict({ id: 'a', depth: 0 }, 2),
      createVerdict({ id: 'f', depth: 0, kind: 'request' }, 3),
    ],
    chosen: ['f'],
  },
] as const;

for (const { name, verdicts, chosen } of choices) {
  test(`choice of the blocks to quarantine: ${name}`, (t) => {
    t.deepEqual(
      chooseCulprits(verdicts).map(({ suspect }) => suspect.id),
      [...chosen],
    );
  });
}

const TWICE = [...IN_A_ROW, createLoss('e3', 3_000, 4_000)];
const deeperCases: readonly {
  readonly name: string;
  readonly head: Partial<Suspect>;
  readonly others: readonly Partial<Suspect>[];
  readonly blamed: string | undefined;
}[] = [
  {
    name: 'a deeper block that was lost with it each time',
    head: { answeredAt: 500 },
    others: [{ id: 'dead', losses: TWICE }],
    blamed: 'dead',
  },
  {
    name: 'a deeper block that was lost with it once',
    head: { answeredAt: 500 },
    others: [{ id: 'x', losses: IN_A_ROW.slice(1) }],
    blamed: undefined,
  },
  {
    name: 'a deeper block that was answered',
    head: { answeredAt: 500 },
    others: [{ id: 'x', losses: TWICE, answeredAt: 600 }],
    blamed: undefined,
  },
  {
    name: 'a block that was never answered itself',
    head: {},
    others: [{ id: 'x', losses: TWICE }],
    blamed: undefined,
  },
  {
    name: 'a block at the same position',
    head: { answeredAt: 500 },
    others: [{ id: 'x', losses: TWICE, depth: 0 }],
    blamed: undefined,
  },
  {
    name: 'two deeper blocks, one of which was lost more often',
    head: { answeredAt: 500 },
    others: [
      { id: 'x', losses: IN_A_ROW, depth: 2 },
      { id: 'dead', losses: TWICE },
    ],
    blamed: 'dead',
  },
];

for (const { name, head, others, blamed } of deeperCases) {
  test(`the block that is blamed for the losses of one in all requests: ${name}`, (t) => {
    const suspect = createBlock({ id: 'head', depth: 0, losses: IN_A_ROW, ...head });
    const verdict = { suspect, losses: 2, needed: 2, isAnswering: true };
    t.is(findDeeperCulprit(verdict, others.map(createBlock))?.id, blamed);
  });
}

test('an answer refutes the losses and the quarantine before it', (t) => {
  const suspect = createBlock({ losses: IN_A_ROW, quarantine: { level: 2, since: 2_500 } });
  const after = mergeSuspects(suspect, { ...suspect, answeredAt: 3_000 });
  t.deepEqual([after.losses, after.quarantine], [[], undefined]);
  const before = mergeSuspects(suspect, { ...suspect, answeredAt: 1_500 });
  t.deepEqual([before.losses, before.quarantine], [[IN_A_ROW[1]!], suspect.quarantine]);
});

test('probes of a quarantined block become rare, up to a limit', (t) => {
  const holds = [1, 2, 3, 4].map((level) => computeHoldMs({ level, since: 0 }));
  t.deepEqual(holds, [3_000, 30_000, 300_000, 300_000]);
});

const times = fc.integer({ min: 0, max: 50 }).map((value) => value * 1_000);
const arbitrarySuspect = fc
  .record({
    losses: fc.uniqueArray(fc.integer({ min: 0, max: 9 }), { maxLength: 6 }),
    answeredAt: fc.option(times, { nil: undefined }),
    quarantine: fc.option(
      fc.integer({ min: 1, max: 3 }).map((level) => ({ level, since: level * 10_000 })),
      { nil: undefined },
    ),
  })
  .map(({ losses, ...fields }) =>
    createBlock({
      ...fields,
      losses: losses
        .sort((a, b) => a - b)
        .map((index) => createLoss(`e${index}`, index * 4_000, index * 5_000)),
    }),
  );

// Reports arrive in any order, more than once, and through several directories.
test('records merge to the same result in any order and any number of times', (t) => {
  fc.assert(
    fc.property(arbitrarySuspect, arbitrarySuspect, arbitrarySuspect, (a, b, c) => {
      const left = mergeSuspects(mergeSuspects(a, b), c);
      const right = mergeSuspects(mergeSuspects(c, a), mergeSuspects(b, a));
      t.deepEqual(left, right);
      t.deepEqual(mergeSuspects(left, b), left);
    }),
    { seed: 1 },
  );
});

test('the number of losses that are kept is bounded', (t) => {
  const suspect = Array.from({ length: 100 }, (_item, index) =>
    createBlock({ losses: [createLoss(`e${index}`, index * 1_000, index * 1_000 + 500)] }),
  ).reduce(mergeSuspects);
  t.is(suspect.losses.length, 12);
  t.is(countIndependentLosses(suspect, []), 12);
});
