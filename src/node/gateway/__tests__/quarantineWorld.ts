import pino from 'pino';
import { Right } from 'purify-ts';
import { Registry } from 'prom-client';
import { createSuspectDirectory, type ClaimProbeParams } from '../../routingControl';
import type { RpcClient } from '../../rpc';
import { createGatewayMetrics } from '../gatewayMetrics';
import { createRequestGuard } from '../requestGuard';
import { createRequestQuarantine, type ServiceRequest } from '../requestQuarantine';
import { createSuspectTable } from '../suspectTable';
import { createSuspectTopic } from '../suspectTopic';
import { createRandom } from './random';

/** What a replayed load is made of; times in milliseconds. */
export interface QuarantineLoad {
  readonly gateways: number;
  readonly endpoints: number;
  readonly lengthMs: number;
  /** Pause between two sound requests, and between two deadly ones, if there are any. */
  readonly soundPauseMs: number;
  readonly deadlyPauseMs: number | undefined;
  /** What crashes endpoints: a block of different requests, or one request that comes again. */
  readonly deadly: 'block' | 'request' | 'plain request';
  readonly sections: number;
  /** Whether the head of a response arrives before the endpoint crashes. */
  readonly sendsHead: boolean;
  /** Share of the attempts whose connection breaks while the endpoint stays up. */
  readonly brokenShare: number;
  /** Times at which this share of the endpoints fails. */
  readonly outages: readonly { readonly at: number; readonly share: number }[];
  /** Times at which the control host is replaced by one that knows nothing. */
  readonly leaderChanges: readonly number[];
}

/** What callers and endpoints saw. */
export interface QuarantineOutcome {
  readonly crashes: readonly number[];
  /** Times at which deadly requests reached endpoints. */
  readonly deadlyArrivals: readonly number[];
  readonly sound: readonly { readonly at: number; readonly isRefused: boolean }[];
  /** Ids of blocks and requests that are quarantined at the end, at any gateway. */
  readonly quarantined: readonly string[];
}

const DEADLY = 'dead';
const PREFILL_MS = 300;
const DOWN_MS = 3_000;
const EXCHANGE_MS = 200;
const STEP_MS = 10;
const ATTEMPT_LIMIT = 3;

interface Running {
  readonly gateway: number;
  readonly request: ServiceRequest;
  readonly startedAt: number;
  readonly attempt: number;
  readonly isBroken: boolean;
}

interface Endpoint {
  incarnation: number;
  downUntil: number;
  running: Running[];
}

/** Replays a load with several gateways and one control host on a simulated clock. */
export const runQuarantineLoad = async (
  load: QuarantineLoad,
  seed: number,
): Promise<QuarantineOutcome> => {
  const random = createRandom(seed);
  const log = pino({ level: process.env.TEST_LOG_LEVEL ?? 'silent' });
  let now = 0;
  const readNow = (): number => now;
  let directory = createSuspectDirectory(`${seed}-0`);
  const call = (async (_host: string, _method: string, params: ClaimProbeParams) =>
    Right(directory.claimProbe(params, now))) as RpcClient['call'];
  const gateways = Array.from({ length: load.gateways }, () => {
    const suspects = createSuspectTable(log, createGatewayMetrics(new Registry()));
    const quarantine = createRequestQuarantine({ suspects, log, readNow });
    const findControlHost = (): string => 'control';
    const guard = createRequestGuard({ quarantine, rpc: { call }, log, readNow, findControlHost });
    const topic = createSuspectTopic({ suspects, quarantine, log, readNow });
    return { suspects, quarantine, guard, topic };
  });
  const endpoints: Endpoint[] = Array.from({ length: load.endpoints }, () => ({
    incarnation: 0,
    downUntil: -1,
    running: [],
  }));
  const crashes: number[] = [];
  const deadlyArrivals: number[] = [];
  const sound: { at: number; isRefused: boolean }[] = [];
  let requests = 0;

  const hasDeadly = ({ fingerprint, blocks }: ServiceRequest): boolean =>
    fingerprint === DEADLY || blocks.some(({ id }) => id === DEADLY);

  const send = async (gateway: number, request: ServiceRequest, attempt: number): Promise<void> => {
    const verdict = await gateways[gateway]!.guard.check(request, 'request', attempt === 1);
    const isRefused = verdict.type === 'refused';
    if (!hasDeadly(request) && attempt === 1) sound.push({ at: now, isRefused });
    const ready = endpoints.filter(({ downUntil }) => downUntil <= now);
    if (isRefused || ready.length === 0 || attempt > ATTEMPT_LIMIT) return;
    if (hasDeadly(request)) deadlyArrivals.push(now);
    ready[Math.floor(random() * ready.length)]!.running.push({
      gateway,
      request,
      startedAt: now,
      attempt: verdict.type === 'probe' ? ATTEMPT_LIMIT : attempt,
      isBroken: random() < load.brokenShare,
    });
  };

  const recordLoss = async (
    endpoint: Endpoint,
    running: Running,
    isAnswering: boolean,
  ): Promise<void> => {
    const incarnation = `${endpoints.indexOf(endpoint)}|${endpoint.incarnation}`;
    const { gateway, request, startedAt, attempt } = running;
    const loss = { incarnation, startedAt, lostAt: now, isAnswering };
    gateways[gateway]!.quarantine.recordLoss(request, 'request', loss);
    await send(gateway, request, attempt + 1);
  };

  const runCrash = async (endpoint: Endpoint, cause?: Running): Promise<void> => {
    const lost = endpoint.running;
    Object.assign(endpoint, { running: [], downUntil: now + DOWN_MS });
    for (const running of lost) {
      await recordLoss(endpoint, running, running === cause && load.sendsHead);
    }
    Object.assign(endpoint, { incarnation: endpoint.incarnation + 1 });
  };

  const runEndpoint = async (endpoint: Endpoint): Promise<void> => {
    const due = endpoint.running.filter(({ startedAt }) => now - startedAt >= PREFILL_MS);
    for (const running of due) {
      if (!endpoint.running.includes(running)) continue;
      if (hasDeadly(running.request)) {
        crashes.push(now);
        await runCrash(endpoint, running);
        continue;
      }
      Object.assign(endpoint, { running: endpoint.running.filter((other) => other !== running) });
      if (running.isBroken) await recordLoss(endpoint, running, load.sendsHead);
      else gateways[running.gateway]!.quarantine.recordAnswer(running.request);
    }
  };

  const createRequest = (fingerprint: string, ids: readonly string[]): ServiceRequest => ({
    service: 's',
    fingerprint,
    blocks: ids.map((id) => ({ id, tokens: 100 })),
  });

  const chooseSection = (): string => `section-${Math.floor(random() * load.sections)}`;

  const createSound = (): ServiceRequest => {
    requests += 1;
    const blocks =
      load.deadly === 'plain request' ? [] : ['head', chooseSection(), `own-${requests}`];
    return createRequest(`sound-${requests}`, blocks);
  };

  const deadlyRequests: Readonly<Record<QuarantineLoad['deadly'], () => ServiceRequest>> = {
    block: () => {
      requests += 1;
      return createRequest(`deadly-${requests}`, ['head', DEADLY, `own-${requests}`]);
    },
    request: () => createRequest(DEADLY, ['head', 'section-0', 'own-deadly']),
    'plain request': () => createRequest(DEADLY, []),
  };

  const isDue = (pauseMs: number | undefined): boolean =>
    pauseMs !== undefined && now % pauseMs < STEP_MS;

  const runExchange = (gateway: (typeof gateways)[number]): void => {
    const pending = gateway.topic.createReport('control')!;
    // As JSON on the wire.
    const report = JSON.parse(JSON.stringify(pending.report)) as typeof pending.report;
    pending.applyAnswer(directory.share(report, now));
  };

  for (; now < load.lengthMs; now += STEP_MS) {
    const at = now;
    if (load.leaderChanges.includes(at)) directory = createSuspectDirectory(`${seed}-${at}`);
    for (const { share } of load.outages.filter((outage) => outage.at === at)) {
      const count = Math.ceil(share * endpoints.length);
      for (const endpoint of endpoints.slice(0, count)) await runCrash(endpoint);
    }
    for (const endpoint of endpoints) await runEndpoint(endpoint);
    const chooseGateway = (): number => Math.floor(random() * gateways.length);
    if (isDue(load.soundPauseMs)) await send(chooseGateway(), createSound(), 1);
    if (isDue(load.deadlyPauseMs)) await send(chooseGateway(), deadlyRequests[load.deadly](), 1);
    if (isDue(EXCHANGE_MS)) gateways.forEach(runExchange);
  }
  const quarantined = gateways.flatMap(({ suspects }) =>
    suspects.listQuarantined('s').map(({ id }) => id),
  );
  return { crashes, deadlyArrivals, sound, quarantined: [...new Set(quarantined)] };
};
