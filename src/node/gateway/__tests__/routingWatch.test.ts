import test from 'ava';
import pino from 'pino';
import { Left, Right } from 'purify-ts';
import { createError, type ErrorType } from '../../errors';
import type { WatchRoutingParams } from '../../routingControl';
import { createLeaseClock } from '../leaseClock';
import { createRoutingWatch } from '../routingWatch';

type Release = 'earlier' | 'this' | 'down';

interface Case {
  readonly name: string;
  /** What the control host runs at each call. */
  readonly releases: readonly Release[];
  /** Whether each call asks for the id of the configuration only. */
  readonly asked: readonly boolean[];
}

const cases: readonly Case[] = [
  { name: 'of this release', releases: ['this', 'this'], asked: [true, true] },
  {
    name: 'of an earlier release',
    releases: ['earlier', 'earlier', 'earlier'],
    asked: [true, false, false],
  },
  {
    name: 'that is upgraded',
    releases: ['earlier', 'earlier', 'down', 'this', 'this'],
    asked: [true, false, false, true, true],
  },
];

const findFault = (release: Release, params: WatchRoutingParams): ErrorType | undefined => {
  if (release === 'down') return 'peer_failed';
  return release === 'earlier' && params.fetchesConfig ? 'invalid_request' : undefined;
};

for (const { name, releases, asked } of cases) {
  test(`watch of the routing state at a control host ${name}`, async (t) => {
    const calls: boolean[] = [];
    const call = async (_host: string, _method: string, params: WatchRoutingParams) => {
      const fault = findFault(releases[calls.length]!, params);
      calls.push(params.fetchesConfig === true);
      return fault ? Left(createError({ type: fault, message: '', step: 'test' })) : Right({});
    };
    const watch = createRoutingWatch({
      gateway: 'g',
      rpc: { call } as never,
      clock: createLeaseClock(),
      log: pino({ level: 'silent' }),
      listTallies: () => [],
    });
    while (calls.length < releases.length) {
      await watch.fetch(['host'], { revision: 1, rolloutAges: [] });
    }
    t.deepEqual(calls, [...asked]);
  });
}
