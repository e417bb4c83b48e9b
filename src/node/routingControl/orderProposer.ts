import { Left, Right, type Either } from 'purify-ts';
import { createError, type RouterError } from '../errors';
import type { Logger } from '../log';
import type { Replica } from '../replication';
import type { RoutingCommand, RoutingResult } from './routingState';

/** The connection over which an order arrived. */
export interface OrderCaller {
  /** Returns whether the caller has closed its side of the connection. */
  readonly hasLeft: () => boolean;
}

/** An operator's order that has no version of its own. */
export interface Order {
  /** The operation, for errors. */
  readonly step: string;
  /** What log lines call the order. */
  readonly title: string;
  /** The order's content, for log lines. */
  readonly facts: Readonly<Record<string, unknown>>;
  /** Returns why the order can't be accepted, if it can't. Called after a confirmed read. */
  readonly check: () => RouterError | undefined;
  /** Creates the command, which names the latest order that this host knows. */
  readonly createCommand: () => RoutingCommand;
}

/** Commits orders of operators. */
export interface OrderProposer {
  /**
   * Commits an order. Returns `unavailable` if its caller has left meanwhile: the caller may have
   * sent the order to another host and given further orders since.
   */
  readonly propose: (order: Order, caller: OrderCaller) => Promise<Either<RouterError, void>>;
}

/** How often an order is proposed while other orders for its subject are committed first. */
const MAX_ORDER_ATTEMPTS = 3;

/** Creates an order proposer. */
export const createOrderProposer = (
  replica: Pick<Replica<RoutingCommand, RoutingResult>, 'confirmRead' | 'propose'>,
  log: Logger,
): OrderProposer => {
  const proposeOnce = async (
    { step, check, createCommand }: Order,
    caller: OrderCaller,
  ): Promise<Either<RouterError, RoutingResult>> => {
    // The order may have waited in a socket while this process was frozen. After a confirmed read
    // this host knows all earlier orders, and an end of the connection has been seen.
    const read = await replica.confirmRead();
    if (read.isLeft()) return read;
    const fault = check();
    if (fault) return Left(fault);
    if (caller.hasLeft()) {
      const message = 'the caller left before the order was committed';
      return Left(createError({ type: 'unavailable', message, step }));
    }
    return (await replica.propose(createCommand())).map(({ result }) => result);
  };

  return {
    propose: async (order, caller) => {
      const { step, title, facts } = order;
      let answer = await proposeOnce(order, caller);
      for (let attempt = 1; attempt < MAX_ORDER_ATTEMPTS; attempt += 1) {
        if (!answer.map(({ type }) => type === 'refused').orDefault(false)) break;
        log.info({ ...facts, answer: answer.extract() }, 'another order was committed first');
        answer = await proposeOnce(order, caller);
      }
      answer.ifRight((result) => log.info({ ...facts, result }, `${title} committed`));
      answer.ifLeft((error) => log.warn({ ...facts, err: error }, `${title} not committed`));
      return answer.chain((result) => {
        if (result.type === 'accepted') return Right(undefined);
        const { reason: message } = result;
        return Left(createError({ type: 'unavailable', message, step }));
      });
    },
  };
};
