import test from 'ava';
import { createError, type RouterError } from '../../errors';
import { createLedgerState, type LedgerCommand } from '../../ledger';
import type { AttemptEnd, FrameContent, TokenCounts } from '../../shared';
import type { AnswerFrame, AttemptClient } from '../attemptClient';
import { createBasicPolicy, type AttemptPolicy } from '../attemptPolicy';
import { createRequestRunner } from '../requestRunner';
import type { RunRequest } from '../runTypes';
import { createSettlement } from '../settlement';

const OWNER = { node: 'entry-1', incarnation: 1 };
const silent = { info: () => {}, warn: () => {}, error: () => {} } as never;
const ENDPOINTS = ['a', 'b', 'c'] as const;

/** How an endpoint responds to an attempt. */
type EndpointBehaviour = 'answers' | 'hangs' | 'refuses' | 'fails' | 'cuts';

const createFailure = (outcome: 'not_run' | 'ran', counts?: TokenCounts): RouterError =>
  createError({
    type: outcome === 'ran' ? 'peer_failed' : 'overloaded',
    message: 'x',
    step: 's',
    outcome,
    data: counts,
  });

const createFrames = (endpoint: string): readonly FrameContent[] => [
  { type: 'head', status: 200, contentType: 'text/plain' },
  { type: 'data', data: Buffer.from(endpoint).toString('base64') },
  { type: 'end', inputTokens: 0, outputTokens: 10 },
];

const waitForAbort = (): Promise<never> => new Promise(() => {});

async function* runBehaviour(
  behaviour: EndpointBehaviour,
  endpoint: string,
): AsyncGenerator<AnswerFrame> {
  if (behaviour === 'hangs') await waitForAbort();
  if (behaviour === 'refuses') throw createFailure('not_run');
  if (behaviour === 'fails') throw createFailure('ran', { inputTokens: 0, outputTokens: 3 });
  const frames = createFrames(endpoint).map((item, index) => ({ ...item, index, name: 'n' }));
  for (const frame of frames) {
    if (behaviour === 'cuts' && frame.type === 'end') throw createFailure('ran');
    yield frame as AnswerFrame;
  }
}

interface Setup {
  readonly behaviours: readonly EndpointBehaviour[];
  readonly policy?: Partial<AttemptPolicy>;
  readonly request?: Partial<RunRequest>;
  readonly waitForIntent?: Promise<void>;
}

const createSetup = ({ behaviours, policy, request, waitForIntent }: Setup) => {
  const ledger = createLedgerState();
  const log: LedgerCommand['type'][] = [];
  const propose = async (command: LedgerCommand) => {
    if (command.type === 'intent') await waitForIntent;
    log.push(command.type);
    return ledger.apply(log.length, command);
  };
  const cancelled: AttemptEnd = {
    type: 'ended',
    state: 'ran',
    counts: { inputTokens: 0, outputTokens: 2 },
  };
  const client: AttemptClient = {
    open: (address) => runBehaviour(behaviours[ENDPOINTS.indexOf(address as 'a')]!, address),
    refuse: async () => cancelled,
    cancel: async () => cancelled,
    confirm: () => {},
  };
  const createChoice = (endpoint: string) => ({
    model: 'm',
    version: 'v',
    reason: '',
    member: { endpoint, address: endpoint, node: endpoint, incarnation: 1 },
  });
  const view = { find: () => undefined, list: () => [] } as never;
  const runner = createRequestRunner({
    client,
    lease: { isValid: () => true, incarnation: () => 1, view },
    settlement: createSettlement({
      ledger: { propose, find: async () => undefined },
      view,
      readOwner: () => OWNER,
      log: silent,
    }),
    chooser: {
      choose: (_request: RunRequest, _bound: unknown, excluded: ReadonlySet<string>) => {
        const endpoint = ENDPOINTS.slice(0, behaviours.length).find((name) => !excluded.has(name));
        if (endpoint) return createChoice(endpoint);
        throw createError({ type: 'unavailable', message: 'none left', step: 'choose' });
      },
      updateLoad: () => {},
      log: () => {},
    } as never,
    policy: { ...createBasicPolicy(), ...policy },
    readOwner: () => OWNER,
    wait: async () => {},
    answerTimeoutMs: 1_000,
    streamBytes: 1_000,
    inFlight: 10,
  });
  const run = () =>
    runner.run({
      requestId: 'r',
      organisation: { name: 'north', weight: 1 },
      task: { class: 'normal' },
      model: 'm',
      idempotent: true,
      keepsAnswer: false,
      isBuffered: true,
      isDeferred: false,
      firstAttempt: 0,
      method: 'POST',
      path: '/',
      headers: {},
      body: Buffer.from('{}'),
      signal: new AbortController().signal,
      ...request,
    } as unknown as RunRequest);
  return { ledger, log, runner, run, createChoice };
};

interface Case extends Setup {
  readonly name: string;
  readonly text?: string;
  readonly outcome?: string;
  readonly lines: readonly number[];
}

const createNext = (endpoint: string) =>
  ({
    model: 'm',
    version: 'v',
    reason: 'escalation',
    member: { endpoint, address: endpoint, node: endpoint, incarnation: 1 },
  }) as never;

const escalate: Partial<AttemptPolicy> = {
  canEscalate: (_request, choice) => choice.member.endpoint === 'a',
  chooseNext: async () => createNext('b'),
};
const hedge: Partial<AttemptPolicy> = { computeHedgeDelayMs: () => 1 };
const nonIdempotent = { idempotent: false } as const;

const cases: readonly Case[] = [
  { name: 'a plain answer', behaviours: ['answers'], text: 'a', lines: [10] },
  {
    name: 'an escalation follows a complete first answer',
    behaviours: ['answers', 'answers'],
    policy: escalate,
    text: 'b',
    lines: [10, 10],
  },
  {
    name: 'a failed escalation returns the first answer',
    behaviours: ['answers', 'fails'],
    policy: escalate,
    text: 'a',
    lines: [10, 3],
  },
  {
    name: 'a streamed request is escalated too',
    behaviours: ['answers', 'answers'],
    policy: escalate,
    request: { isBuffered: false },
    text: 'b',
    lines: [10, 10],
  },
  {
    name: 'a request that may not be repeated is not escalated',
    behaviours: ['answers', 'answers'],
    policy: escalate,
    request: nonIdempotent,
    text: 'a',
    lines: [10],
  },
  {
    name: 'the first attempt is cancelled and billed when a hedge wins',
    behaviours: ['hangs', 'answers'],
    policy: hedge,
    text: 'b',
    lines: [2, 10],
  },
  {
    name: 'a request that may not be repeated is not hedged',
    behaviours: ['answers', 'answers'],
    policy: hedge,
    request: nonIdempotent,
    text: 'a',
    lines: [10],
  },
  {
    name: 'a refused attempt is retried on another endpoint',
    behaviours: ['refuses', 'answers'],
    request: nonIdempotent,
    text: 'b',
    lines: [10],
  },
  {
    name: 'a request that all endpoints refuse is not_run',
    behaviours: ['refuses', 'refuses'],
    outcome: 'not_run',
    lines: [],
  },
  {
    name: 'a failure with outcome ran before the head is retried and billed',
    behaviours: ['fails', 'answers'],
    text: 'b',
    lines: [3, 10],
  },
  {
    name: 'a failure with outcome ran is not retried if the request may not be repeated',
    behaviours: ['fails', 'answers'],
    request: nonIdempotent,
    outcome: 'ran',
    lines: [3],
  },
  {
    name: 'a truncated buffered answer is retried',
    behaviours: ['cuts', 'answers'],
    text: 'b',
    lines: [10],
  },
];

const readText = async (chunks: AsyncIterable<Buffer>): Promise<string> => {
  let text = '';
  for await (const chunk of chunks) text += chunk.toString();
  return text;
};

cases.forEach(({ name, text, outcome, lines, ...setup }) => {
  test(name, async (t) => {
    const { ledger, log, runner, run } = createSetup(setup);
    if (outcome !== undefined) {
      t.is<string, string>((await t.throwsAsync<RouterError>(run)).outcome, outcome);
    } else t.is(await readText((await run()).chunks), text!);
    const bills = ledger.listBills();
    t.deepEqual(
      bills.flatMap((bill) => bill.usage.map((line) => line.outputTokens)),
      lines,
    );
    t.true(bills.length <= 1);
    t.is(log.at(-1), 'settle');
    t.is(runner.countActive(), 0);
  });
});

test('the first byte of an idempotent answer waits until its intent is recorded', async (t) => {
  let releaseIntent = (): void => {};
  const waitForIntent = new Promise<void>((resolve) => {
    releaseIntent = resolve;
  });
  const { run, log } = createSetup({
    behaviours: ['answers'],
    request: { isBuffered: false },
    waitForIntent,
  });
  let hasHead = false;
  const running = run().then((answer) => {
    hasHead = true;
    return answer;
  });
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  t.false(hasHead);
  releaseIntent();
  t.is(await readText((await running).chunks), 'a');
  t.deepEqual(log, ['intent', 'settle']);
});

test('an answer whose caller leaves while its intent is recorded is billed when it is closed', async (t) => {
  let releaseIntent = (): void => {};
  const waitForIntent = new Promise<void>((resolve) => {
    releaseIntent = resolve;
  });
  const controller = new AbortController();
  const { run, ledger } = createSetup({
    behaviours: ['answers'],
    request: { isBuffered: false, signal: controller.signal },
    waitForIntent,
  });
  const running = run();
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  controller.abort();
  releaseIntent();
  const { chunks } = await running;
  t.deepEqual(
    ledger.listBills().filter(({ final }) => final),
    [],
  );
  await chunks.return(undefined);
  t.deepEqual(
    ledger.listBills().map(({ requestId, final }) => ({ requestId, final })),
    [{ requestId: 'r', final: true }],
  );
});
