import { Left, Right, type Either } from 'purify-ts';
import { createError, type RouterError } from '../errors';
import type { Logger } from '../log';
import type { Replica } from '../replication';
import { checkRoutingConfig, type ServiceRollout } from '../routing';
import { createReplaceConfig, type SubmittedConfig } from './configCommand';
import { createConfigArchive } from './configArchive';
import { createConfigTransfer, type ConfigTransfer } from './configTransfer';
import type { RoutingAnswer, WatchRoutingParams } from './protocol';
import type { RolloutSupervisor } from './rolloutSupervisor';
import type { RoutingCommand, RoutingResult, RoutingState } from './routingState';
import { createChangeNotifier } from './changeNotifier';
import { createOrderProposer, type OrderCaller } from './orderProposer';
import { createZoneOrders, type ZoneOrders } from './zoneOrders';

/** Options of a routing handler. */
export interface RoutingHandlerOptions {
  readonly replica: Replica<RoutingCommand, RoutingResult>;
  readonly state: RoutingState;
  readonly supervisor: RolloutSupervisor;
  /** Lists the zones that this host knows; undefined if zones can't be evacuated. */
  readonly listZones: (() => readonly string[]) | undefined;
  readonly log: Logger;
  /** Returns the internal addresses of the control hosts, which gateways call. */
  readonly listControlHosts: () => readonly string[];
  /** Returns milliseconds on a monotonic clock. */
  readonly readNow: () => number;
}

/**
 * Handles the calls of operators and gateways on the routing state. Operator calls return typed
 * errors.
 */
export interface RoutingHandler {
  /**
   * Commits a configuration and returns its version. Returns `invalid_request` if it is not valid.
   */
  readonly replaceConfig: (sent: SubmittedConfig) => Promise<Either<RouterError, number>>;
  /**
   * Returns the latest configuration text, or `unavailable` if none is committed or no quorum
   * confirms it.
   */
  readonly readConfig: () => Promise<Either<RouterError, string>>;
  /** Commits an order, see `OrderProposer`. */
  readonly startRollout: (
    order: Omit<ServiceRollout, 'stage'>,
    caller: OrderCaller,
  ) => Promise<Either<RouterError, void>>;
  /** Commits an order to evacuate a zone or to end its evacuation. */
  readonly proposeEvacuation: ZoneOrders['propose'];
  readonly countEvacuatedZones: () => number;
  readonly readRollout: (service: string) => Promise<Either<RouterError, ServiceRollout>>;
  readonly watch: (params: WatchRoutingParams) => Promise<RoutingAnswer>;
  readonly readConfigPiece: ConfigTransfer['readPiece'];
}

/** A gateway that has not called for this long is no longer counted. */
const GATEWAY_TIMEOUT_MS = 3_000;

/** Creates the routing handler of one control host. */
export const createRoutingHandler = (options: RoutingHandlerOptions): RoutingHandler => {
  const { replica, state, supervisor, log, listControlHosts, readNow } = options;
  const notifier = createChangeNotifier();
  const orders = createOrderProposer(replica, log);
  const zoneOrders = createZoneOrders({ orders, state, listZones: options.listZones });
  const lastCallAt = new Map<string, number>();
  const archive = createConfigArchive();
  const transfer = createConfigTransfer({ archive, log });

  const recordConfig = (): void => {
    const config = state.config();
    if (config) archive.add(config);
  };

  recordConfig();
  state.addListener(recordConfig);
  state.addListener(notifier.notify);

  const countGateways = (now: number): number => {
    for (const [gateway, at] of lastCallAt) {
      if (now - at > GATEWAY_TIMEOUT_MS) lastCallAt.delete(gateway);
    }
    return lastCallAt.size;
  };

  const propose = async (command: RoutingCommand): Promise<Either<RouterError, RoutingResult>> =>
    (await replica.propose(command)).map((applied) => applied.result);

  const isKnownService = (service: string): boolean =>
    state.config()?.services.some(({ name }) => name === service) === true ||
    state.listRollouts().some((rollout) => rollout.service === service);

  const replaceConfig: RoutingHandler['replaceConfig'] = async ({ config, source }) => {
    const faults = checkRoutingConfig(config);
    const { version } = config;
    if (faults.length > 0) {
      log.info({ version, faults: faults.slice(0, 5) }, 'configuration refused');
      const message = faults.join('; ');
      return Left(createError({ type: 'invalid_request', message, step: 'config.check' }));
    }
    const held = state.config()?.version ?? 0;
    const { leader, role, term } = replica.status();
    log.info({ version, held, leader, role, term }, 'configuration received');
    const answer = await propose(await createReplaceConfig({ config, source }));
    answer.ifRight((result) => log.info({ version, held, result }, 'configuration committed'));
    answer.ifLeft((error) =>
      log.warn({ version, held, err: error }, 'configuration not committed'),
    );
    return answer.map(() => version);
  };

  const startRollout: RoutingHandler['startRollout'] = (order, caller) =>
    orders.propose(
      {
        step: 'rollout.start',
        title: 'roll-out start',
        facts: { ...order },
        check: () => {
          if (isKnownService(order.service)) return undefined;
          const message = `unknown service '${order.service}': not in the configuration`;
          return createError({ type: 'invalid_request', message, step: 'rollout.start' });
        },
        createCommand: () => ({
          type: 'startRollout',
          ...order,
          after: state.findOrder(order.service),
        }),
      },
      caller,
    );

  return {
    replaceConfig,
    readConfig: async () =>
      (await replica.confirmRead()).chain(() => {
        const source = state.source();
        if (source !== undefined) return Right(source);
        const message = 'no configuration has been committed yet';
        return Left(createError({ type: 'unavailable', message, step: 'config.read' }));
      }),
    startRollout,
    proposeEvacuation: zoneOrders.propose,
    countEvacuatedZones: () => zoneOrders.listEvacuated()?.length ?? 0,
    readRollout: async (service) =>
      (await replica.confirmRead()).chain(() => {
        const rollout = state.listRollouts().find((item) => item.service === service);
        if (rollout) return Right(rollout);
        const message = `no roll-out of service '${service}' has been started`;
        return Left(createError({ type: 'not_found', message, step: 'rollout.read' }));
      }),
    watch: async (params) => {
      const now = readNow();
      lastCallAt.set(params.gateway, now);
      supervisor.recordTallies(params);
      if (state.revision() === params.revision) await notifier.wait(params.waitMs);
      // Ensures that the answer includes every change acknowledged before this point.
      (await replica.confirmRead()).unsafeCoerce();
      const revision = state.revision();
      const answer = {
        revision,
        leader: replica.status().leaderAddress,
        controlHosts: listControlHosts(),
        gatewayCount: countGateways(now),
        rolloutAges: supervisor.listAges(),
      };
      if (revision === params.revision) return answer;
      const update = {
        ...(params.fetchesConfig !== true && { config: state.config() ?? null }),
        configId: archive.findLatest()?.id ?? null,
        rollouts: state.listRollouts(),
        retired: state.listRetired(),
        evacuatedZones: zoneOrders.listEvacuated(),
      };
      return { ...answer, update };
    },
    readConfigPiece: transfer.readPiece,
  };
};
