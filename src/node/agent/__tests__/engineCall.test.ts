import test from 'ava';
import type { AttemptRequest } from '../../shared';
import { createAttempt } from '../attempt';
import { callEngine, type EngineTarget } from '../engineCall';

const REQUEST = {
  requestId: 'r',
  attempt: 0,
  target: { kind: 'model', model: 'small', version: 'v1' },
  method: 'POST',
  path: '/v1/chat/completions',
  headers: {},
  body: Buffer.from('{"stream":true}').toString('base64'),
  deadlineMs: 1_000,
} as unknown as AttemptRequest;

const formatEvent = (word: string): string =>
  `data: ${JSON.stringify({ choices: [{ delta: { content: word } }] })}\n\n`;

const EVENTS = ['a', 'b', 'c', 'd'].map(formatEvent);
const ALL = EVENTS.join('');

const cases = [
  { name: 'one at a time', chunks: EVENTS, frames: 4 },
  { name: 'all at once', chunks: [ALL], frames: 1 },
  { name: 'in two reads', chunks: [EVENTS.slice(0, 3).join(''), EVENTS[3]!], frames: 2 },
  {
    name: 'with a read that ends within an event',
    chunks: [ALL.slice(0, -5), ALL.slice(-5)],
    frames: 2,
  },
  {
    name: 'with a read that completes no event',
    chunks: [ALL.slice(0, 5), ALL.slice(5)],
    frames: 1,
  },
] as const;

for (const { name, chunks, frames } of cases) {
  test(`events of an engine share a frame if they arrive together: ${name}`, async (t) => {
    const body = (async function* generateChunks() {
      for (const chunk of chunks) yield Buffer.from(chunk);
    })();
    const headers = { 'content-type': 'text/event-stream' };
    const pool = { request: async () => ({ statusCode: 200, headers, body }) };
    const counts = { inputTokens: 0, outputTokens: 0 };
    const attempt = createAttempt(REQUEST);
    await callEngine({ pool, counts } as unknown as EngineTarget, attempt);
    const parts: string[] = [];
    for await (const frame of attempt.read(0, new AbortController().signal)) {
      if (frame.type === 'data') parts.push(Buffer.from(frame.data, 'base64').toString());
    }
    t.is(parts.length, frames);
    t.is(parts.join(''), ALL);
    t.is(counts.outputTokens, EVENTS.length);
  });
}
