import { performance } from 'node:perf_hooks';
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';
import { createGrantHolder, createLearning } from '../decisions';
import type { Service } from '../kernel';
import { createLeaseClient, type LeaseClient } from '../lease';
import { createLedgerClient, type Owner } from '../ledger';
import { createPartLogger, type Logger } from '../log';
import { createInternalServer, type Metrics } from '../metrics';
import {
  createHttpServer,
  createRpcService,
  registerHealthRoutes,
  startHttpServer,
  type RpcClient,
} from '../rpc';
import { resolveRpcOptions, type EntryConfig } from '../settings';
import { createAttemptClient } from './attemptClient';
import { registerCallerApi, waitForIdle, waitForSettled } from './callerApi';
import {
  createDecisionLog,
  createExplainMethods,
  createRecordingChooser,
  type DecisionLog,
} from './decisionLog';
import { createDeferredRunner } from './deferredRunner';
import { createLivePolicy } from './livePolicy';
import { createPolicyClient } from './policyClient';
import { createRatingClient } from './ratingClient';
import { createRecordingRunner } from './requestMetrics';
import { createRequestRunner } from './requestRunner';
import { sleep } from './sleep';
import { createSettlement } from './settlement';
import { createTargetChooser } from './targetChoice';

const RANDOM_STEPS = 1_000_000_000;
const LEARNING_HALF_LIFE_MS = 6 * 3_600_000;
/** Used until control sends the rate of this entry. */
const INITIAL_FALSE_HALT_RATE = 0.001;

const createRandomSource = (): (() => number) => {
  const generator = xoroshiro128plus(Date.now());
  return () => unsafeUniformIntDistribution(0, RANDOM_STEPS - 1, generator) / RANDOM_STEPS;
};

interface DecisionContext {
  readonly rpc: RpcClient;
  readonly lease: LeaseClient;
  readonly metrics: Metrics;
  readonly decisionLog: DecisionLog;
  readonly decisions: Logger;
  readonly log: Logger;
}

const createDecisionComponents = (settings: EntryConfig, context: DecisionContext) => {
  const { rpc, lease, metrics, decisionLog, decisions, log } = context;
  const { node, zone } = settings;
  const { view } = lease;
  const learning = createLearning({
    halfLifeMs: LEARNING_HALF_LIFE_MS,
    falseBrakeRate: INITIAL_FALSE_HALT_RATE,
  });
  const holder = createGrantHolder();
  const readNow = (): number => performance.now();
  const policyClient = createPolicyClient({
    node,
    lease,
    rpc,
    learning,
    holder,
    readNow,
    log,
  });
  const readRandom = createRandomSource();
  const canRate = settings.ratingAddress !== undefined;
  const baseChooser = createTargetChooser({
    view,
    entry: node,
    zone,
    learning,
    canRate,
    readRandom,
    readNow,
    log: decisions,
  });
  const chooser = createRecordingChooser(baseChooser, {
    decisions: decisionLog,
    recordRetry: () => metrics.retries.inc(),
  });
  const policy = createLivePolicy({
    view,
    chooser,
    learning,
    holder,
    rating: createRatingClient(settings.ratingAddress),
    canRate,
    requestGrants: policyClient.requestExchange,
    readRandom,
    readNow,
  });
  return { chooser, policy, policyClient };
};

const createEntryService = (settings: EntryConfig): Service => ({
  name: 'entry',
  dependencies: ['rpc', 'log', 'metrics'],
  start: async (find) => {
    const rpc = find<RpcClient>('rpc');
    const root = find<Logger>('log');
    const log = createPartLogger(root, 'entry');
    const { node, zone, control, limits } = settings;
    const host = settings.host ?? node;
    const lease = createLeaseClient({ node, role: 'entry', zone, host, control, rpc, log });
    const ledger = createLedgerClient(rpc, lease);
    const { answerTimeoutMs } = limits;
    const decisions = createPartLogger(root, 'decision');
    const { view } = lease;
    const metrics = find<Metrics>('metrics');
    const decisionLog = createDecisionLog();
    const { chooser, policy, policyClient } = createDecisionComponents(settings, {
      rpc,
      lease,
      metrics,
      decisionLog,
      decisions,
      log,
    });
    const readOwner = (): Owner => ({ node, incarnation: lease.incarnation() });
    const settlement = createSettlement({ ledger, view, readOwner, log });
    const { streamBytes, inFlight } = limits;
    const runner = createRequestRunner({
      client: createAttemptClient(rpc),
      lease,
      settlement,
      chooser,
      policy,
      wait: sleep,
      readOwner,
      answerTimeoutMs,
      streamBytes,
      inFlight,
    });
    const deferred = createDeferredRunner({
      ledger,
      runner,
      settlement,
      lease,
      readOwner,
      answerTimeoutMs,
      log,
    });
    let isStopping = false;
    const isReady = (): boolean => lease.isValid() && !isStopping;

    const internal = createInternalServer({
      methods: createExplainMethods(decisionLog),
      secret: settings.secrets.internal,
      tls: settings.portTls?.internal,
      metrics,
      isReady,
      readRevision: view.revision,
    });
    const { bodyBytes: bodyLimitBytes, requestTimeoutMs } = limits;
    const callers = createHttpServer({
      bodyLimitBytes,
      requestTimeoutMs,
      createRequestId: runner.createRequestId,
      tls: settings.portTls?.callers,
    });
    registerCallerApi(callers, {
      lease,
      ledger,
      runner: createRecordingRunner(callers, runner, {
        metrics,
        decisions: decisionLog,
        log: decisions,
      }),
      log,
      answerTimeoutMs,
      isStopping: () => isStopping,
      handleDeferred: deferred.pollNow,
    });
    registerHealthRoutes(callers, isReady);
    // Opens both ports before the lease, so that a port in use fails the start without a lease.
    const internalAddress = await startHttpServer(internal, settings.internalListen);
    const address = await startHttpServer(callers, settings.listen);
    await lease.start(internalAddress);
    policyClient.start();
    deferred.start();
    log.info({ address, internalAddress }, 'listening');

    const stop = async (): Promise<void> => {
      isStopping = true;
      await deferred.stop();
      await waitForIdle(runner);
      await waitForSettled(settlement);
      await callers.close();
      policyClient.stop();
      await lease.stop();
      await internal.close();
    };
    const countEndpoints = (): number => view.list('member').length;
    return { value: { address, internalAddress, countEndpoints }, stop };
  },
});

/** Addresses of a started entry. */
export interface EntryAddresses {
  readonly address: string;
  readonly internalAddress: string;
  /** Returns the number of live endpoints that this entry knows. */
  readonly countEndpoints: () => number;
}

/** Creates the services of the `entry` role. */
export const createEntryServices = (settings: EntryConfig): readonly Service[] => [
  createRpcService(resolveRpcOptions(settings)),
  createEntryService(settings),
];
