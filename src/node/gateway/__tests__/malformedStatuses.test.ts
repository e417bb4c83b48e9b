import test from 'ava';
import { HEADERS } from '../../../../platform/__tests__/wireNames';
import { framings } from './framings';
import { startGateway, type RouteFields } from './harness';
import { close, createAnswer, ECHO, LONG_DEADLINE } from './socketAnswers';

const SIGNATURE = HEADERS.signature.toLowerCase();
const BODY = 'in trouble';

/** Status lines without a status that HTTP knows, of endpoints that may have run the request. */
const statuses = [
  '000',
  '000 OK',
  '001 OK',
  '020 OK',
  '099 OK',
  '20 OK',
  '2000 OK',
  '-200 OK',
  'OK',
];

const routes: readonly { readonly name: string; readonly route: RouteFields }[] = [
  { name: 'runs once', route: { kind: 'once' } },
  { name: 'may be repeated', route: {} },
  { name: 'is a stream', route: { kind: 'stream' } },
  { name: 'is a stream that can be resumed', route: { kind: 'stream', canResume: true } },
];

// Callers of other systems got such an answer, with the endpoint's signature.
for (const { name, route } of routes) {
  test(`an answer without a valid status reaches no caller: a request that ${name}`, async (t) => {
    t.timeout(60_000);
    const readable = framings.filter(({ isCoded }) => isCoded !== true);
    const combinations = statuses.flatMap((status) =>
      readable.map((framing) => ({ status, framing })),
    );
    const answers = await Promise.all(
      combinations.map(async ({ status, framing }) => {
        const head = `${framing.version ?? 'HTTP/1.1'} ${status}\r\n${ECHO}\r\n${framing.createHead(BODY.length)}\r\n`;
        const answer = createAnswer(head + framing.formatBody(BODY, true), close);
        const fields = { timeoutMs: 20_000, targetLatencyMs: 10_000, ...route };
        const gateway = await startGateway(fields, [answer]);
        const result = await gateway.call({ method: 'POST', body: '{}', ...LONG_DEADLINE });
        await gateway.stop();
        const signature = result.headers[SIGNATURE];
        return { status, framing: framing.name, got: result.status, signature };
      }),
    );
    t.deepEqual(
      answers.filter(({ got, signature }) => got !== 502 || signature !== undefined),
      [],
    );
  });
}
