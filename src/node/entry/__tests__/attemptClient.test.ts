import { Readable } from 'node:stream';
import test from 'ava';
import { Right } from 'purify-ts';
import type { Outcome, RouterError } from '../../errors';
import type { AttemptRequest, FrameContent } from '../../shared';
import { createAttemptClient } from '../attemptClient';

const ATTEMPT = { requestId: 'r', attempt: 0, incarnation: 1 } as AttemptRequest;
const HEAD: FrameContent = { type: 'head', status: 200, contentType: 'text/plain' };
const END: FrameContent = { type: 'end', inputTokens: 1, outputTokens: 1 };
const REFUSAL = { type: 'unavailable', message: 'no', step: 'agent.admit', outcome: 'not_run' };

const createData = (text: string): FrameContent => ({
  type: 'data',
  data: Buffer.from(text).toString('base64'),
});

const formatLines = (contents: readonly FrameContent[], first = 0, name = 'r.0'): string =>
  contents
    .map((content, index) => `${JSON.stringify({ ...content, index: first + index, name })}\n`)
    .join('');

type Step = () => { readonly statusCode: number; readonly body: unknown };

const replyLines =
  (text: string, fault?: Error): Step =>
  () => {
    async function* readChunks(): AsyncGenerator<Buffer> {
      yield Buffer.from(text);
      if (fault) throw fault;
    }
    return { statusCode: 200, body: Readable.from(readChunks()) };
  };

const replyRefusal: Step = () => ({
  statusCode: 503,
  body: { json: async () => ({ error: REFUSAL }) },
});

const runFailure =
  (code: string): Step =>
  () => {
    throw Object.assign(new Error(code), { code });
  };

const IDLE_TIMEOUT = Object.assign(new Error('body timeout'), { code: 'UND_ERR_BODY_TIMEOUT' });

interface Case {
  readonly name: string;
  readonly steps: readonly Step[];
  readonly text?: string;
  readonly outcome?: Outcome;
  /** Requested paths, in order. */
  readonly paths: readonly string[];
  readonly replaced?: number;
}

const RESUME_1 = '/attempts/r/0?from=1&incarnation=1';
const RESUME_2 = '/attempts/r/0?from=2&incarnation=1';

const cases: readonly Case[] = [
  {
    name: 'a refusal of the only message is not_run',
    steps: [replyRefusal],
    outcome: 'not_run',
    paths: ['/attempts'],
  },
  {
    name: 'a refusal after a message that may have arrived is unknown',
    steps: [runFailure('UND_ERR_HEADERS_TIMEOUT'), replyRefusal],
    outcome: 'unknown',
    paths: ['/attempts', '/attempts'],
    replaced: 1,
  },
  {
    name: 'a refusal after a lost connection to the started attempt is unknown',
    steps: [replyLines(formatLines([HEAD]), IDLE_TIMEOUT), replyRefusal],
    outcome: 'unknown',
    paths: ['/attempts', RESUME_1],
    replaced: 1,
  },
  {
    name: 'an attempt is not_run if no message could connect to the agent',
    steps: Array.from({ length: 4 }, () => runFailure('ECONNREFUSED')),
    outcome: 'not_run',
    paths: Array.from({ length: 4 }, () => '/attempts'),
    replaced: 3,
  },
  {
    name: 'an idle stream is resumed at the next index on new connections',
    steps: [
      replyLines(formatLines([HEAD, createData('a')]), IDLE_TIMEOUT),
      replyLines(formatLines([createData('b'), END], 2)),
    ],
    text: 'ab',
    paths: ['/attempts', RESUME_2],
    replaced: 1,
  },
  {
    name: 'duplicate frames are dropped',
    steps: [
      replyLines(formatLines([HEAD, createData('a')]), IDLE_TIMEOUT),
      replyLines(formatLines([HEAD, createData('a'), createData('b'), END])),
    ],
    text: 'ab',
    paths: ['/attempts', RESUME_2],
    replaced: 1,
  },
  {
    name: 'a missing frame fails the stream',
    steps: [replyLines(formatLines([HEAD]) + formatLines([createData('c'), END], 2))],
    outcome: 'unknown',
    paths: ['/attempts'],
  },
  {
    name: 'a frame of another attempt fails the stream',
    steps: [replyLines(formatLines([HEAD]) + formatLines([createData('x')], 1, 'other.0'))],
    outcome: 'unknown',
    paths: ['/attempts'],
  },
  {
    name: 'a failure frame before the head gives the outcome ran',
    steps: [
      replyLines(
        formatLines([
          {
            type: 'failed',
            error: { type: 'peer_failed', message: 'x', step: 'agent.engine', outcome: 'ran' },
            counts: { inputTokens: 3, outputTokens: 0 },
          },
        ]),
      ),
    ],
    outcome: 'ran',
    paths: ['/attempts'],
  },
];

cases.forEach(({ name, steps, text, outcome, paths, replaced = 0 }) => {
  test(name, async (t) => {
    const requestedPaths: string[] = [];
    let replacedCount = 0;
    const client = createAttemptClient(
      {
        request: async (_address, options) => {
          requestedPaths.push(options.path);
          return steps[requestedPaths.length - 1]!() as never;
        },
        call: async () => Right({} as never),
        replaceConnections: () => {
          replacedCount += 1;
        },
      },
      async () => {},
    );
    const readAll = async (): Promise<string> => {
      let sum = '';
      for await (const frame of client.open('a:1', ATTEMPT, new AbortController().signal)) {
        if (frame.type === 'data') sum += Buffer.from(frame.data, 'base64').toString();
      }
      return sum;
    };
    if (outcome === undefined) t.is(await readAll(), text!);
    else t.is((await t.throwsAsync<RouterError>(readAll)).outcome, outcome);
    t.deepEqual(requestedPaths, paths);
    t.is(replacedCount, replaced);
  });
});
