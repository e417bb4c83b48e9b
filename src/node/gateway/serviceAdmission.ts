import murmurhash from 'murmurhash';
import {
  admitUnderScarcity,
  type PoolLoad,
  type RankTarget,
  type ScarcityVerdict,
} from '../decisions';
import type { AdmissionRecords } from './admissionRecords';
import type { OrganisationUse } from './organisationUse';
import { createPlacementQueue, type QueuePosition } from './placementQueue';
import { readPoolLoad, type PoolLoadOptions } from './poolLoad';
import type { RefusedRequests } from './refusedRequests';
import type {
  AdmissionResult,
  Judgement,
  PredictedWork,
  ScarcityRequest,
  WaitEnd,
} from './scarcityTypes';

/** Admits the requests of one service. */
export interface ServiceAdmission {
  readonly admit: (
    request: ScarcityRequest,
    targets: readonly RankTarget[],
    handleEnd: (end: WaitEnd) => void,
  ) => AdmissionResult;
  /** Decides again on the waiting requests. */
  readonly advance: () => void;
  readonly countWaiting: () => number;
}

/** Options of the admission to one service. */
export interface ServiceAdmissionOptions extends PoolLoadOptions {
  readonly use: OrganisationUse;
  readonly refused: RefusedRequests;
  readonly records: AdmissionRecords;
  /** Returns the monotonic time in milliseconds. */
  readonly readNow: () => number;
  /** Returns the age of the loads of the other gateways, in milliseconds. */
  readonly readLoadAgeMs: () => number;
}

interface WaitingRequest extends QueuePosition {
  readonly request: ScarcityRequest;
  readonly targets: readonly RankTarget[];
  readonly startedAt: number;
  readonly handleEnd: (end: WaitEnd) => void;
  work: PredictedWork;
  useRatio: number;
}

type Refusal = Extract<ScarcityVerdict, { readonly type: 'refuse' }>;

/** Requests that wait at this gateway for one service at most. */
const QUEUE_LIMIT = 256;
/** Waiting requests whose endpoint is chosen again in one pass. */
const MAX_PREDICTIONS = 3;
/** Work that a request causes besides its prefill, in milliseconds of an engine. */
const BASE_WORK_MS = 10;
/** Above this ratio an organisation's requests wait behind those of the others. */
const ABOVE_SHARE_RATIO = 1.2;
const HASH_RANGE = 2 ** 32;

const computeAmount = ({ prefillMs }: PredictedWork): number => BASE_WORK_MS + prefillMs;

const createQueueRefusal = (limitMs: number, retryAfterMs: number): Refusal => ({
  type: 'refuse',
  reason: 'queue_full',
  retryAfterMs,
  limitMs,
});

type JudgeInput = Pick<
  WaitingRequest,
  'request' | 'targets' | 'work' | 'useRatio' | 'isReturner'
> & {
  readonly pool: PoolLoad;
  /** Prefill work of the requests that wait here and go before this one, and their number. */
  readonly aheadMs: number;
  readonly aheadCount: number;
  readonly otherCount: number;
};

const judge = (input: JudgeInput, now: number): Judgement => {
  const { request, targets, work, useRatio, isReturner, pool, aheadMs } = input;
  const verdict = admitUnderScarcity({
    rank: request.rank,
    targets,
    targetMs: request.route.targetLatencyMs,
    targetLeftMs: request.targetEndsAt - now,
    limitLeftMs: request.deadlineAt - now,
    queueMs: work.queueMs,
    prefillMs: work.prefillMs,
    pool,
    // The other gateways are assumed to have as much work waiting as this one.
    waitingAheadMs: (aheadMs * request.gatewayCount) / Math.max(1, pool.endpoints),
    isAnyAhead: input.aheadCount > 0,
    isAnyWaiting: input.otherCount > 0,
    isReturner,
    useRatio,
    canWait: true,
    spread: murmurhash.v3(request.requestId) / HASH_RANGE,
  });
  return { verdict, pool, useRatio, isReturner };
};

/** Creates the admission to one service. */
export const createServiceAdmission = (options: ServiceAdmissionOptions): ServiceAdmission => {
  const { use, refused, records, readNow, readLoadAgeMs } = options;
  const queue = createPlacementQueue<WaitingRequest>(QUEUE_LIMIT);

  const readPool = ({ service, gatewayCount }: ScarcityRequest, now: number): PoolLoad =>
    readPoolLoad(options, service, { ageMs: readLoadAgeMs(), gatewayCount }, now);

  const findUseRatio = ({ route, organisation }: ScarcityRequest, now: number): number =>
    use.findRatio(route.name, organisation ?? '', now);

  const settleWait = (item: WaitingRequest, judgement: Judgement, now: number): void => {
    queue.remove(item);
    const { request, startedAt, handleEnd, work } = item;
    const { verdict } = judgement;
    const isRefused = verdict.type === 'refuse';
    records.record(request, judgement, isRefused ? 'refused' : 'waited', now - startedAt);
    if (isRefused) {
      handleEnd(records.createRefusal(request, verdict, now));
      return;
    }
    use.recordUse(request.route.name, request.organisation ?? '', computeAmount(work), now);
    handleEnd({ type: 'run' });
  };

  const addWaiting = (item: WaitingRequest, judgement: Judgement): AdmissionResult => {
    const { verdict } = judgement;
    const retryAfterMs = verdict.type === 'wait' ? verdict.waitMs : 0;
    const refusal = createQueueRefusal(verdict.limitMs, retryAfterMs);
    const displaced = queue.findDisplaced(item);
    if (displaced) settleWait(displaced, { ...judgement, verdict: refusal }, item.startedAt);
    if (queue.add(item)) return { type: 'wait' };
    records.record(item.request, { ...judgement, verdict: refusal }, 'refused', 0);
    return records.createRefusal(item.request, refusal, item.startedAt);
  };

  const admit: ServiceAdmission['admit'] = (request, targets, handleEnd) => {
    const now = readNow();
    const { work, rank, route, organisation = '' } = request;
    const isReturner = refused.isReturner(request.fingerprint, now);
    const pool = readPool(request, now);
    const useRatio = findUseRatio(request, now);
    const isAboveShare = useRatio > ABOVE_SHARE_RATIO;
    const latestOfferAt = Math.min(request.targetEndsAt, request.deadlineAt) - work.prefillMs;
    const position = { rank, isAboveShare, isReturner, latestOfferAt };
    const ahead = queue.listAhead(position);
    const aheadMs = ahead.reduce((sum, item) => sum + item.work.prefillMs, 0);
    const counts = { aheadMs, aheadCount: ahead.length, otherCount: queue.count() };
    const input = { request, targets, work, useRatio, isReturner, pool, ...counts };
    const judgement = judge(input, now);
    const { verdict } = judgement;
    // What an organisation asks for while requests are held back says nothing about its usual work.
    const isUsual = verdict.type === 'run' && queue.count() === 0;
    const amount = computeAmount(work);
    if (!isReturner) use.recordDemand(route.name, organisation, { amount, isUsual }, now);
    if (verdict.type === 'run') {
      use.recordUse(route.name, organisation, computeAmount(work), now);
      records.record(request, judgement, 'admitted', 0);
      return { type: 'run' };
    }
    if (verdict.type === 'refuse') {
      records.record(request, judgement, 'refused', 0);
      return records.createRefusal(request, verdict, now);
    }
    const item = { ...position, request, targets, startedAt: now, handleEnd, work, useRatio };
    return addWaiting(item, judgement);
  };

  const advance = (): void => {
    const now = readNow();
    let aheadMs = 0;
    let aheadCount = 0;
    let pool: PoolLoad | undefined;
    let predictions = 0;
    for (const item of queue.list()) {
      const { request } = item;
      if (request.hasEnded()) {
        queue.remove(item);
        item.handleEnd({ type: 'ended' });
        continue;
      }
      pool ??= readPool(request, now);
      if (aheadCount === 0 && predictions < MAX_PREDICTIONS) {
        predictions += 1;
        item.work = request.estimateWork() ?? item.work;
        item.useRatio = findUseRatio(request, now);
      }
      const counts = { aheadMs, aheadCount, otherCount: queue.count() - 1 };
      const judgement = judge({ ...item, pool, ...counts }, now);
      if (judgement.verdict.type === 'wait') {
        aheadMs += item.work.prefillMs;
        aheadCount += 1;
        continue;
      }
      // A request that may run now is sent after this pass, so its work isn't in the loads yet.
      if (judgement.verdict.type === 'run') {
        // The other gateways see the same reports, and release as much.
        const addedMs = (request.gatewayCount * item.work.prefillMs) / Math.max(1, pool.endpoints);
        pool = { ...pool, pendingMs: pool.pendingMs + addedMs };
      }
      settleWait(item, judgement, now);
    }
  };

  return { admit, advance, countWaiting: queue.count };
};
