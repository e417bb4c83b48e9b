import test from 'ava';
import { Right } from 'purify-ts';
import { pino } from 'pino';
import {
  createRoutingHandler,
  createRoutingState,
  type EvacuationAction,
  type RoutingCommand,
} from '..';

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
      listZones: undefined,
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

const ZONE = 'zone-1';

interface EvacuationCase {
  readonly name: string;
  /** Orders that were accepted before this one arrives. */
  readonly earlier?: readonly EvacuationAction[];
  /** Orders that other hosts commit while this host confirms its read. */
  readonly during?: readonly EvacuationAction[];
  /** Orders that other hosts commit after the confirmed read, before the proposal. */
  readonly before?: readonly EvacuationAction[];
  readonly action: EvacuationAction;
  readonly hasLeft?: boolean;
  /** Zones that this host knows; undefined if zones can't be evacuated. */
  readonly zones?: readonly string[];
  readonly failure?: 'not_found' | 'unavailable';
  readonly isEvacuated: boolean;
  /** Changes of the state by the order itself. */
  readonly changes: number;
}

const evacuationCases: readonly EvacuationCase[] = [
  { name: 'a start is committed', action: 'start', isEvacuated: true, changes: 1 },
  {
    name: 'an end is committed',
    earlier: ['start'],
    action: 'end',
    isEvacuated: false,
    changes: 1,
  },
  // The answer was lost, or the leader was lost between the commit and the answer.
  {
    name: 'a start that is in force is acknowledged again without a change',
    earlier: ['start'],
    action: 'start',
    isEvacuated: true,
    changes: 0,
  },
  {
    name: 'an end that is in force is acknowledged again without a change',
    earlier: ['start', 'end'],
    action: 'end',
    isEvacuated: false,
    changes: 0,
  },
  {
    name: 'a start that another host commits at the same time is acknowledged without a change',
    before: ['start'],
    action: 'start',
    isEvacuated: true,
    changes: 0,
  },
  {
    name: 'an order of a caller that has left is not committed',
    action: 'start',
    hasLeft: true,
    failure: 'unavailable',
    isEvacuated: false,
    changes: 0,
  },
  // The host was frozen with the order in its socket, while the operator went on to other hosts.
  {
    name: 'a start that has ended and arrives again late is not committed',
    during: ['start', 'end'],
    action: 'start',
    hasLeft: true,
    failure: 'unavailable',
    isEvacuated: false,
    changes: 0,
  },
  {
    name: 'an end that arrives again late does not end a later evacuation',
    earlier: ['start'],
    during: ['end', 'start'],
    action: 'end',
    hasLeft: true,
    failure: 'unavailable',
    isEvacuated: true,
    changes: 0,
  },
  {
    name: 'an order that crosses another one is committed after it while its caller waits',
    earlier: ['start'],
    before: ['start'],
    action: 'end',
    isEvacuated: false,
    changes: 1,
  },
  {
    name: 'an unknown zone is not found, and nothing changes',
    zones: ['zone-2'],
    action: 'start',
    failure: 'not_found',
    isEvacuated: false,
    changes: 0,
  },
  // The host was restarted, and no endpoint of the zone has reported to it since.
  {
    name: 'an accepted order for a zone that is no longer known is acknowledged again',
    zones: [],
    earlier: ['start'],
    action: 'start',
    isEvacuated: true,
    changes: 0,
  },
  {
    name: 'a deployment without evacuations finds no zone',
    zones: undefined,
    action: 'start',
    failure: 'not_found',
    isEvacuated: false,
    changes: 0,
  },
];

for (const item of evacuationCases) {
  const { name, earlier = [], during = [], before = [], action, hasLeft = false } = item;
  test(`evacuation orders: ${name}`, async (t) => {
    const state = createRoutingState();
    let index = 0;
    let pending = before;
    const apply = (command: RoutingCommand) => {
      index += 1;
      return { index, term: 1, result: state.apply(index, command) };
    };
    const applyOrders = (actions: readonly EvacuationAction[]): void =>
      actions.forEach((each) =>
        apply({
          type: 'evacuateZone',
          zone: ZONE,
          action: each,
          after: state.findEvacuationOrder(ZONE),
        }),
      );
    applyOrders(earlier);
    let changes = 0;
    const zones = 'zones' in item ? item.zones : [ZONE];
    const handler = createRoutingHandler({
      replica: {
        confirmRead: async () => {
          applyOrders(during);
          return Right({ index, term: 1 });
        },
        propose: async (command: RoutingCommand) => {
          applyOrders(pending);
          pending = [];
          const revision = state.revision();
          const applied = apply(command);
          changes += state.revision() - revision;
          return Right(applied);
        },
        status: () => ({ leaderAddress: '' }),
      } as never,
      state,
      supervisor: {} as never,
      listZones: zones && (() => zones),
      log: pino({ level: 'silent' }),
      listControlHosts: () => [],
      readNow: () => 0,
    });
    const answer = await handler.proposeEvacuation(
      { zone: ZONE, action },
      { hasLeft: () => hasLeft },
    );
    t.is(answer.swap().toMaybe().extract()?.type, item.failure);
    const isActive = state.listEvacuations().some((evacuation) => evacuation.isActive);
    t.is(isActive, item.isEvacuated);
    t.is(changes, item.changes);
  });
}

const answers = [
  { name: 'tells gateways', isAllowed: true, evacuatedZones: [ZONE] },
  // Without the bound in the settings no lease ends in time, so nothing may rely on the order.
  { name: 'does not tell gateways of it without the setting', isAllowed: false },
];

for (const { name, isAllowed, evacuatedZones } of answers) {
  test(`a control host that knows of an evacuated zone ${name}`, async (t) => {
    const state = createRoutingState();
    state.apply(1, { type: 'evacuateZone', zone: ZONE, action: 'start', after: 0 });
    state.apply(2, { type: 'evacuateZone', zone: 'zone-2', action: 'start', after: 0 });
    state.apply(3, { type: 'evacuateZone', zone: 'zone-2', action: 'end', after: 2 });
    const handler = createRoutingHandler({
      replica: {
        confirmRead: async () => Right({ index: 3, term: 1 }),
        status: () => ({ leaderAddress: '' }),
      } as never,
      state,
      supervisor: { recordTallies: () => {}, listAges: () => [] } as never,
      listZones: isAllowed ? () => [ZONE] : undefined,
      log: pino({ level: 'silent' }),
      listControlHosts: () => [],
      readNow: () => 0,
    });
    const call = {
      gateway: 'g',
      bootId: 'b',
      revision: -1,
      waitMs: 0,
      tallies: [],
      rolloutAges: [],
    };
    const { update } = await handler.watch(call);
    t.deepEqual(update?.evacuatedZones, evacuatedZones);
  });
}
