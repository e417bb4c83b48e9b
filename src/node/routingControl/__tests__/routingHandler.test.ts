import test from 'ava';
import { Right } from 'purify-ts';
import { pino } from 'pino';
import { createRoutingHandler, createRoutingState, type RoutingCommand } from '..';

interface Case {
  readonly name: string;
  /** Orders that other hosts commit while this host confirms its read. */
  readonly during?: readonly string[];
  /** Orders that other hosts commit after the confirmed read, before the proposal. */
  readonly before?: readonly string[];
  readonly hasLeft?: boolean;
  readonly isAccepted: boolean;
  readonly target: string;
}

const cases: readonly Case[] = [
  { name: 'an order of a caller that waits is committed', isAccepted: true, target: 'v2' },
  {
    name: 'an order whose caller has left is not committed',
    hasLeft: true,
    isAccepted: false,
    target: 'v1',
  },
  // The host was frozen with the order in its socket, while the operator went on to other hosts.
  {
    name: 'an order whose caller has left does not remove the roll-out that was ordered later',
    during: ['v2', 'v3'],
    hasLeft: true,
    isAccepted: false,
    target: 'v3',
  },
  {
    name: 'an order that another one overtakes is committed after it while its caller waits',
    before: ['v3'],
    isAccepted: true,
    target: 'v2',
  },
];

for (const { name, during = [], before = [], hasLeft = false, isAccepted, target } of cases) {
  test(`roll-out orders: ${name}`, async (t) => {
    const state = createRoutingState();
    let index = 0;
    const apply = (command: RoutingCommand) => {
      index += 1;
      return { index, term: 1, result: state.apply(index, command) };
    };
    const applyOrders = (targets: readonly string[]): void =>
      targets.forEach((item) =>
        apply({ type: 'startRollout', service: 's', target: item, durationMs: 1_000 }),
      );
    applyOrders(['v1']);
    let pending = before;
    const handler = createRoutingHandler({
      replica: {
        confirmRead: async () => {
          applyOrders(during);
          return Right({ index, term: 1 });
        },
        propose: async (command: RoutingCommand) => {
          applyOrders(pending);
          pending = [];
          return Right(apply(command));
        },
        status: () => ({ leaderAddress: '' }),
      } as never,
      state,
      supervisor: {} as never,
      log: pino({ level: 'silent' }),
      listControlHosts: () => [],
      readNow: () => 0,
    });
    const order = { service: 's', target: 'v2', durationMs: 1_000 };
    const answer = await handler.startRollout(order, { hasLeft: () => hasLeft });
    t.is(answer.isRight(), isAccepted);
    t.is(state.listRollouts()[0]?.target, target);
  });
}
