import { fileURLToPath } from 'node:url';
import test from 'ava';
import { ABUSIVE_ORGANISATION, runEmulation, type Outcome } from '../emulate';
import { computeFigures } from '../figures';
import { readPattern, type Pattern } from '../pattern';

const SEED = 7;
const RANKS = [0, 1, 2];
/** A more urgent kind may be served this much less often than a less urgent one. */
const ORDER_TOLERANCE = 0.05;

const scarce = readPattern(fileURLToPath(new URL('../patterns/scarce.jsonc', import.meta.url)));

/**
 * A pool with one small model, so that no request can be served by a smaller one: three endpoints
 * are full at load 1.2.
 */
const oneModel: Pattern = { ...scarce, endpoints: 3, models: scarce.models.slice(0, 1) };

const isInTime = ({ firstTokenMs, request }: Outcome): boolean =>
  firstTokenMs <= request.task.targetMs;

const computeShare = (outcomes: readonly Outcome[]): number =>
  outcomes.filter(isInTime).length / Math.max(1, outcomes.length);

const listRank = (outcomes: readonly Outcome[], rank: number): readonly Outcome[] =>
  outcomes.filter(({ request }) => request.task.rank === rank);

const runLive = (pattern: Pattern, load: number): readonly Outcome[] =>
  runEmulation({ pattern, policy: 'live', load, seed: SEED }).outcomes;

interface OrderCase {
  readonly title: string;
  readonly pattern: Pattern;
  readonly load: number;
  /** Lowest share in time of the most urgent kind. */
  readonly urgentShare: number;
}

const orders: readonly OrderCase[] = [
  { title: 'a burst, three models', pattern: scarce, load: 2.5, urgentShare: 0.95 },
  { title: 'a burst, one model', pattern: oneModel, load: 3, urgentShare: 0.85 },
  {
    title: 'half of the endpoints are lost',
    pattern: { ...scarce, bursts: [], stepDown: { at: 15, endpoints: 5 } },
    load: 1.6,
    urgentShare: 0.98,
  },
  {
    title: 'callers give up early',
    pattern: { ...oneModel, patience: 0.4 },
    load: 3,
    // Callers who have left count as not served, and they leave soon after the target.
    urgentShare: 0.85,
  },
];

// Guards against long prompts with a long target that fill the queues of the endpoints, so that a
// more urgent kind with a shorter target is late.
for (const { title, pattern, load, urgentShare } of orders) {
  test(`more urgent kinds are served first: ${title}`, (t) => {
    const outcomes = runLive(pattern, load);
    const shares = RANKS.map((rank) => computeShare(listRank(outcomes, rank)));
    t.true(shares[0]! >= shares[1]! - ORDER_TOLERANCE, `Shares in time: ${shares}`);
    t.true(shares[1]! >= shares[2]! - ORDER_TOLERANCE, `Shares in time: ${shares}`);
    t.true(shares[0]! >= urgentShare, `Shares in time: ${shares}`);
  });
}

// Guards against limits that shut out a kind, or its longest prompts.
test('nobody starves under scarcity', (t) => {
  const outcomes = runLive(oneModel, 2);
  for (const rank of RANKS) {
    const kind = listRank(outcomes, rank);
    const sorted = [...kind].sort((a, b) => b.request.promptTokens - a.request.promptTokens);
    const tenth = Math.ceil(sorted.length / 10);
    const share = computeShare(kind);
    t.true(share > 0.2, `rank ${rank}: ${share}`);
    for (const [name, part] of [
      ['largest tenth', sorted.slice(0, tenth)],
      ['fifth below', sorted.slice(tenth, 3 * tenth)],
    ] as const) {
      t.true(computeShare(part) >= share / 2, `rank ${rank}, ${name}: ${computeShare(part)}`);
    }
  }
});

// Guards against an organisation that gains by sending more, at the cost of the others.
test('an organisation that sends six times its load is served less often than the others', (t) => {
  const pattern = { ...oneModel, hotOrganisation: 6, hotFrom: 12 };
  const late = runLive(pattern, 2).filter(({ request }) => request.arrivedAt >= 14_000);
  for (const rank of RANKS) {
    const kind = listRank(late, rank);
    const hot = computeShare(kind.filter(({ request }) => request.organisation === 'o-0'));
    const others = computeShare(kind.filter(({ request }) => request.organisation !== 'o-0'));
    // Most requests of the more urgent kinds are served, so the cost shows in the least urgent one.
    const tolerance = rank === 2 ? -ORDER_TOLERANCE : ORDER_TOLERANCE;
    t.true(hot <= others + tolerance, `rank ${rank}: ${hot} ${others}`);
  }
});

// Guards against an advantage for callers that return at once, again and again.
test('callers that retry too often gain nothing', (t) => {
  const pattern = { ...oneModel, retryAbuse: { returns: 6, delayMs: 50 } };
  const outcomes = runLive(pattern, 3);
  const abusive = outcomes.filter(({ request }) => request.organisation === ABUSIVE_ORGANISATION);
  const others = outcomes.filter(({ request }) => request.organisation !== ABUSIVE_ORGANISATION);
  t.true(
    computeShare(abusive) <= computeShare(others) + ORDER_TOLERANCE,
    `Shares in time: ${computeShare(abusive)} of these callers, ${computeShare(others)} of the others`,
  );
});

// Guards against a refusal after the caller has waited in vain.
test('a refused request is not held until its target is missed', (t) => {
  const refused = runLive({ ...oneModel, retryAbuse: undefined }, 3).filter(
    ({ end }) => end === 'refused',
  );
  t.true(refused.length > 100);
  // A refused caller returns once after at most a third of the time that it has left, so the second
  // refusal comes before its limit.
  t.true(
    refused.every(
      ({ request, refusedAt = 0 }) => refusedAt - request.arrivedAt < request.task.deadlineMs,
    ),
  );
});

// Guards against waits and refusals while there is enough capacity.
test('a calm pool serves every request exactly as without the admission', (t) => {
  const runPolicy = (policy: string) => {
    const { outcomes } = runEmulation({ pattern: scarce, policy, load: 0.7, seed: SEED });
    return outcomes.map(({ request, firstTokenMs, model }) => [request.id, firstTokenMs, model]);
  };
  t.deepEqual(runPolicy('live'), runPolicy('accept-all'));
});

// Guards against limits so low that the endpoints idle.
test('the admission earns more than accepting every request', (t) => {
  for (const { pattern, load } of orders) {
    const [live, acceptAll] = ['live', 'accept-all'].map(
      (policy) => computeFigures(runEmulation({ pattern, policy, load, seed: SEED })).benefit,
    );
    t.true(live! > acceptAll!, `${live} ${acceptAll}`);
  }
});
