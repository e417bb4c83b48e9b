import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { Left, Right } from 'purify-ts';
import { createError } from '../../errors';
import { callWithHedges } from '../hedgedCall';

type Behaviour = 'answers' | 'fails' | 'silent' | 'throws';

const FIRST_DELAY_MS = 60;
const NEXT_DELAY_MS = 30;
const error = createError({ type: 'timeout', message: 'no answer', step: 'test' });

const cases: readonly {
  readonly name: string;
  readonly hosts: Readonly<Record<string, Behaviour>>;
  readonly asked: readonly string[];
  readonly answeredBy: string | undefined;
}[] = [
  {
    name: 'the first host answers',
    hosts: { a: 'answers', b: 'answers' },
    asked: ['a'],
    answeredBy: 'a',
  },
  {
    name: 'the first host is silent',
    hosts: { a: 'silent', b: 'answers', c: 'answers' },
    asked: ['a', 'b'],
    answeredBy: 'b',
  },
  {
    name: 'two hosts are silent',
    hosts: { a: 'silent', b: 'silent', c: 'answers' },
    asked: ['a', 'b', 'c'],
    answeredBy: 'c',
  },
  {
    name: 'hosts fail at once',
    hosts: { a: 'fails', b: 'throws', c: 'answers' },
    asked: ['a', 'b', 'c'],
    answeredBy: 'c',
  },
  {
    name: 'a hedge fails while the first host is silent',
    hosts: { a: 'silent', b: 'fails', c: 'answers' },
    asked: ['a', 'b', 'c'],
    answeredBy: 'c',
  },
  {
    name: 'every host fails',
    hosts: { a: 'fails', b: 'fails' },
    asked: ['a', 'b'],
    answeredBy: undefined,
  },
];

for (const { name, hosts, asked, answeredBy } of cases) {
  test(`hedged call: ${name}`, async (t) => {
    const calls: string[] = [];
    const aborted: string[] = [];
    const answer = await callWithHedges<string>({
      hosts: Object.keys(hosts),
      firstDelayMs: FIRST_DELAY_MS,
      nextDelayMs: NEXT_DELAY_MS,
      call: async (host, { signal, isHedge }) => {
        t.is(isHedge, calls.length > 0);
        calls.push(host);
        if (hosts[host] === 'answers') return Right(host);
        if (hosts[host] === 'fails') return Left(error);
        if (hosts[host] === 'throws') throw new Error('broken');
        await new Promise((resolve) => {
          signal.addEventListener('abort', resolve);
        });
        aborted.push(host);
        return Left(error);
      },
    });
    t.deepEqual(calls, asked);
    t.is(answer.toMaybe().extract()?.host, answeredBy);
    await sleep(0);
    const silent = asked.filter((host) => hosts[host] === 'silent');
    t.deepEqual(aborted, silent, 'calls that are no longer needed end');
    await sleep(FIRST_DELAY_MS + NEXT_DELAY_MS);
    t.deepEqual(calls, asked, 'no host is asked after the answer');
  });
}
