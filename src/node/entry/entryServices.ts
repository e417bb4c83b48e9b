import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';
import type { Service } from '../kernel';
import { createLeaseClient } from '../lease';
import { createLedgerClient, type Owner } from '../ledger';
import { createPartLogger, type Logger } from '../log';
import { registerMetrics, type Metrics } from '../metrics';
import {
  createHttpServer,
  createRpcClient,
  registerHealthRoutes,
  registerRpc,
  startHttpServer,
  type RpcClient,
} from '../rpc';
import { resolveRpcOptions, type EntryConfig } from '../settings';
import { createAttemptClient } from './attemptClient';
import { createPlainPolicy } from './attemptPolicy';
import { registerCallerApi, waitForIdle, waitForSettled } from './callerApi';
import { createDecisionLog, createExplainMethods, createRecordingChooser } from './decisionLog';
import { createDeferredRunner } from './deferredRunner';
import { createRecordingRunner } from './requestMetrics';
import { createRequestRunner } from './requestRunner';
import { createSettlement } from './settlement';
import { createTargetChooser } from './targetChoice';

const DRAW_STEPS = 1_000_000_000;

const createDraw = (): (() => number) => {
  const generator = xoroshiro128plus(Date.now());
  return () => unsafeUniformIntDistribution(0, DRAW_STEPS - 1, generator) / DRAW_STEPS;
};

const createRpcService = (settings: EntryConfig): Service => ({
  name: 'rpc',
  needs: [],
  start: () => {
    const value = createRpcClient(resolveRpcOptions(settings));
    return { value, stop: value.close };
  },
});

const createEntryService = (settings: EntryConfig): Service => ({
  name: 'entry',
  needs: ['rpc', 'log', 'metrics'],
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
    const chooser = createRecordingChooser(
      createTargetChooser({ view, zone, readDraw: createDraw(), log: decisions }),
      { decisions: decisionLog, recordRetry: () => metrics.retries.inc() },
    );
    const readOwner = (): Owner => ({ node, incarnation: lease.incarnation() });
    const settlement = createSettlement({ ledger, view, readOwner, log });
    const { streamBytes, inFlight } = limits;
    const runner = createRequestRunner({
      client: createAttemptClient(rpc),
      lease,
      settlement,
      chooser,
      policy: createPlainPolicy(),
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

    const recordCall = (method: string, result: string): void =>
      metrics.calls.inc({ method, result });
    const internal = createHttpServer({ tls: settings.ports?.internal });
    const { bodyBytes: bodyLimitBytes, requestTimeoutMs } = limits;
    const callers = createHttpServer({
      bodyLimitBytes,
      requestTimeoutMs,
      createRequestId: runner.createRequestId,
      tls: settings.ports?.callers,
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
      handleDeferred: deferred.handleDeferred,
    });
    registerHealthRoutes(callers, isReady);
    registerHealthRoutes(internal, isReady);
    registerRpc(internal, createExplainMethods(decisionLog), settings.secrets.internal, recordCall);
    registerMetrics(internal, metrics);
    metrics.registerSource('revision', view.revision);
    metrics.registerSource('lease', () => Number(isReady()));
    const internalAddress = await startHttpServer(internal, settings.internalListen);
    await lease.start(internalAddress);
    const address = await startHttpServer(callers, settings.listen);
    deferred.start();
    log.info({ address, internalAddress }, 'listening');

    const stop = async (): Promise<void> => {
      isStopping = true;
      await deferred.stop();
      await waitForIdle(runner);
      await waitForSettled(settlement);
      await callers.close();
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
  /** Live endpoints that this entry knows of. */
  readonly countEndpoints: () => number;
}

/** The services of the `entry` role. */
export const createEntryServices = (settings: EntryConfig): readonly Service[] => [
  createRpcService(settings),
  createEntryService(settings),
];
