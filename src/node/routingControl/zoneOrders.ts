import { Left, type Either } from 'purify-ts';
import { createError, type RouterError } from '../errors';
import type { OrderCaller, OrderProposer } from './orderProposer';
import type { EvacuationAction, RoutingState } from './routingState';

/** An order to evacuate a zone or to end its evacuation. */
export interface EvacuationOrder {
  readonly zone: string;
  readonly action: EvacuationAction;
}

/** Orders to evacuate zones. */
export interface ZoneOrders {
  /** Commits an order, see `OrderProposer`. Returns `not_found` for an unknown zone. */
  readonly propose: (
    order: EvacuationOrder,
    caller: OrderCaller,
  ) => Promise<Either<RouterError, void>>;
  /** Lists the evacuated zones; undefined if zones can't be evacuated. */
  readonly listEvacuated: () => readonly string[] | undefined;
}

/** Options of zone orders. */
export interface ZoneOrderOptions {
  readonly orders: OrderProposer;
  readonly state: Pick<RoutingState, 'listEvacuations' | 'findEvacuationOrder'>;
  /**
   * Lists the zones that this host knows; undefined if the deployment sets no bound for the time
   * until an evacuation is in force. Nothing may rely on an order then, since leases may be longer.
   */
  readonly listZones: (() => readonly string[]) | undefined;
}

const STEP = 'zone.evacuate';

/** Creates the orders to evacuate zones of one control host. */
export const createZoneOrders = ({ orders, state, listZones }: ZoneOrderOptions): ZoneOrders => {
  // An order that was accepted must never be refused later, so a zone with an order stays known.
  const isKnownZone = (zone: string): boolean =>
    listZones?.().includes(zone) === true ||
    state.listEvacuations().some((evacuation) => evacuation.zone === zone);

  const createNotFound = (message: string): RouterError =>
    createError({ type: 'not_found', message, step: STEP });

  return {
    propose: async ({ zone, action }, caller) => {
      if (!listZones)
        return Left(createNotFound('the settings do not allow zones to be evacuated'));
      return orders.propose(
        {
          step: STEP,
          title: 'zone evacuation order',
          facts: { zone, action },
          check: () =>
            isKnownZone(zone)
              ? undefined
              : createNotFound(`unknown zone '${zone}': neither in the settings nor in a report`),
          createCommand: () => ({
            type: 'evacuateZone',
            zone,
            action,
            after: state.findEvacuationOrder(zone),
          }),
        },
        caller,
      );
    },
    listEvacuated: () =>
      listZones &&
      state.listEvacuations().flatMap(({ zone, isActive }) => (isActive ? [zone] : [])),
  };
};
