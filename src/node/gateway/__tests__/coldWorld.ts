import pino from 'pino';
import { Registry as MetricsRegistry } from 'prom-client';
import { LEADER_CONFIRMED_MS, type ColdBounds } from '../../decisions';
import { createError } from '../../errors';
import {
  createRegistry,
  mergeRecords,
  type EndpointRecord,
  type EndpointReport,
  type KnownEndpoint,
} from '../../registry';
import { createColdTable, type ColdTable } from '../../routingControl';
import { createColdPermits, type ColdPermits } from '../coldPermits';
import { createColdTopic } from '../coldTopic';
import { createGatewayMetrics } from '../gatewayMetrics';
import { createLeaseClock } from '../leaseClock';
import { computeExchangeInterval } from '../peerExchange';
import { createRandom } from './random';

/** A rule of the mechanism that a test switches off. */
export type ColdRule = 'permits' | 'lifetime' | 'debt' | 'losses';

/** A run of gateways, control hosts and one endpoint that is dark for a while, then cold. */
export interface ColdSchedule {
  readonly seed: number;
  readonly gateways: number;
  /** Requests per second for the endpoint, from all gateways. */
  readonly rate: number;
  /** Time with little load between bursts of requests; 0 for a steady load. */
  readonly idleMs: number;
  /** How long the endpoint is unreachable before it is cold; 0 if it is cold from the start. */
  readonly darkMs: number;
  readonly coldMs: number;
  /** Whether the endpoint has another start when it comes back. */
  readonly isRestarted: boolean;
  /** Times at which another control host becomes the leader, in milliseconds of the cold time. */
  readonly leaderChanges: readonly number[];
  /** Times at which a gateway starts again. */
  readonly restarts: readonly number[];
  /** Times at which a gateway is paused, or its host suspended. */
  readonly pauses: readonly {
    readonly at: number;
    readonly ms: number;
    readonly isSuspended: boolean;
  }[];
  /** Share of the calls that are lost, and the longest delay of a message in milliseconds. */
  readonly lossShare: number;
  readonly maxDelayMs: number;
  /** Rule that is switched off, if any. */
  readonly withoutRule?: ColdRule;
}

/** What happened in a run. */
export interface ColdHistory {
  /** Times at which requests reached the endpoint while it was cold. */
  readonly arrivals: readonly number[];
  /** Permits that gateways were given. */
  readonly given: number;
  readonly endedAt: number;
  readonly coldAt: number;
}

const HOSTS = 3;
const STEP_MS = 10;
const DARK_AT = 3_000;
const BURST_MS = 400;
/** Requests per second between bursts. */
const IDLE_RATE = 20;
const AFTER_MS = 1_500;
const CONNECT_TIMEOUT_MS = 400;
const CALL_TIMEOUT_MS = 400;
const REPORT_INTERVAL_MS = 1_200;
const POLL_MS = 100;
/** Longest time until a gateway knows another leader. */
const LEADER_LAG_MS = 800;
/** Share of the reports that are late, and by how much at most. */
const LATE_SHARE = 0.1;
const LATE_MS = 2_000;
const COLD_START = { durationMs: 3_000, requestsPerSecond: 8.8 };

/** Bounds of both customers. */
export const COLD_BOUNDS: ColdBounds = { overage: 1.5, slack: 5 };

const log = pino({ level: 'silent' });
const LOST = createError({ type: 'timeout', message: 'no answer', step: 'test' });

interface Gateway {
  permits: ColdPermits;
  topic: ReturnType<typeof createColdTopic>;
  records: Map<string, EndpointRecord>;
  followed: readonly string[];
  revision: number;
  pausedUntil: number;
  /** Time for which the monotonic clock stood still. */
  suspendedMs: number;
  /** Incremented by each start; events of earlier starts are dropped. */
  start: number;
  readonly lagMs: number;
}

interface Leadership {
  readonly host: number;
  readonly from: number;
}

/** Runs a schedule in simulated time. */
export const runColdWorld = (schedule: ColdSchedule): ColdHistory => {
  const { withoutRule } = schedule;
  const random = createRandom(1 + (Math.abs(schedule.seed) % 1_000_000));
  random();
  const coldAt = DARK_AT + schedule.darkMs;
  const warmAt = coldAt + schedule.coldMs;
  const endAt = warmAt + AFTER_MS;
  const isDark = (at: number): boolean => at >= DARK_AT && at < coldAt;
  const isCold = (at: number): boolean => at >= coldAt && at < warmAt;
  let now = 0;

  const events = new Map<number, (() => void)[]>();
  const addEvent = (at: number, run: () => void): void => {
    const slot = Math.max(now + STEP_MS, Math.ceil(at / STEP_MS) * STEP_MS);
    const list = events.get(slot);
    if (list) list.push(run);
    else events.set(slot, [run]);
  };
  const sampleDelay = (maxMs: number): number => random() ** 3 * maxMs;

  const leaders: Leadership[] = [{ host: 0, from: -60_000 }];
  [...schedule.leaderChanges]
    .sort((a, b) => a - b)
    .forEach((at) => {
      const host = (leaders.at(-1)!.host + 1 + Math.floor(random() * (HOSTS - 1))) % HOSTS;
      leaders.push({ host, from: coldAt + at });
    });
  const findLed = (host: number, at: number) => {
    const index = leaders.findLastIndex((item) => item.host === host && item.from <= at);
    if (index < 0) return undefined;
    const deposedAt = leaders[index + 1]?.from ?? Infinity;
    return at - deposedAt < LEADER_CONFIRMED_MS ? { term: index } : undefined;
  };
  const findLeader = (at: number): number => leaders.findLast(({ from }) => from <= at)?.host ?? 0;

  const createTable = (host: number): ColdTable => {
    const table = createColdTable({
      log,
      bounds: COLD_BOUNDS,
      findColdStart: () => COLD_START,
      readLeader: () => findLed(host, now),
    });
    return table;
  };
  const tables = Array.from({ length: HOSTS }, (_item, host) => createTable(host));
  // The first leader has long led.
  tables[0]!.share({ wanted: [], doubts: [] }, -10_000);
  if (withoutRule === 'debt') {
    leaders.slice(1).forEach(({ host, from }) => {
      addEvent(from, () => tables[host]!.share({ wanted: [], doubts: [] }, now - 10_000));
    });
  }

  const registry = createRegistry({
    reportTimeoutMs: 6 * REPORT_INTERVAL_MS,
    retentionMs: 60_000,
    overdueMs: 2.5 * REPORT_INTERVAL_MS,
    hasColdStart: () => true,
  });
  let sequence = 100;
  const createReport = (): EndpointReport => {
    sequence += 1;
    const isNew = schedule.isRestarted && now >= coldAt;
    return {
      id: 'e',
      startedAt: isNew ? 2 : 1,
      sequence,
      service: 's',
      address: '127.0.0.1:1',
      zone: 'a',
      version: 'v1',
      slots: 8,
      state: 'ready',
      warmupMs: isCold(now) ? warmAt - now : 0,
      models: [],
    };
  };

  const arrivals: number[] = [];
  const metrics = createGatewayMetrics(new MetricsRegistry());
  let given = 0;

  const createGatewayPart = (gateway: Omit<Gateway, 'permits' | 'topic'>) => {
    const readMonotonic = (): number => now - gateway.suspendedMs;
    const leaseClock = createLeaseClock(readMonotonic, () => now);
    const clock =
      withoutRule === 'lifetime' ? { ...leaseClock, computeElapsedMs: () => 0 } : leaseClock;
    const permits = createColdPermits({
      bounds: withoutRule === 'permits' ? undefined : COLD_BOUNDS,
      log,
      metrics,
      clock,
      listServices: () => ['s'],
      findColdStart: () => COLD_START,
      listEndpoints: (): readonly KnownEndpoint[] => mergeRecords([[...gateway.records.values()]]),
      updateFollowed: (ids) => {
        Object.assign(gateway, { followed: ids });
      },
      countGateways: () => schedule.gateways,
      readEvacuatedZones: () => undefined,
    });
    return { permits, topic: createColdTopic({ permits, log, clock, readNow: readMonotonic }) };
  };
  const gateways: Gateway[] = Array.from({ length: schedule.gateways }, () => {
    const common = {
      records: new Map<string, EndpointRecord>(),
      followed: [],
      revision: -1,
      pausedUntil: 0,
      suspendedMs: 0,
      start: 0,
      lagMs: random() * LEADER_LAG_MS,
    };
    const gateway = common as unknown as Gateway;
    Object.assign(gateway, createGatewayPart(common));
    return gateway;
  });

  // Runs something at a gateway: later if it is paused, never if it starts again meanwhile.
  const runAt = (gateway: Gateway, at: number, run: () => void): void => {
    const { start } = gateway;
    const runAttempt = (): void => {
      if (gateway.start !== start) return;
      if (now < gateway.pausedUntil) addEvent(gateway.pausedUntil, runAttempt);
      else run();
    };
    addEvent(at, runAttempt);
  };
  const readMonotonic = ({ suspendedMs }: Gateway): number => now - suspendedMs;

  const runCall = (gateway: Gateway): void => {
    const host = findLeader(now - gateway.lagMs);
    const pending = gateway.topic.createReport(`${host}`);
    if (!pending) return;
    const { report, applyAnswer, handleFailure } = pending;
    const isLost = random() < schedule.lossShare;
    let isEnded = false;
    const createEnd = (run: () => void) => () => {
      if (isEnded) return;
      isEnded = true;
      run();
      runAt(gateway, now + computeExchangeInterval(schedule.gateways), () => runCall(gateway));
    };
    runAt(
      gateway,
      now + CALL_TIMEOUT_MS,
      createEnd(() => handleFailure(LOST)),
    );
    if (isLost && random() < 0.5) return;
    addEvent(now + sampleDelay(schedule.maxDelayMs), () => {
      const answer = tables[host]!.share(report, now);
      if (isCold(now)) given += answer.granted.reduce((sum, { permits }) => sum + permits, 0);
      if (isLost) return;
      runAt(
        gateway,
        now + sampleDelay(schedule.maxDelayMs),
        createEnd(() => applyAnswer(answer)),
      );
    });
  };

  const pollRegistry = (gateway: Gateway): void => {
    registry.follow(gateway.followed, now);
    const { records } = registry.readChanges(gateway.revision, Infinity);
    Object.assign(gateway, { revision: registry.revision() });
    runAt(gateway, now + sampleDelay(schedule.maxDelayMs), () => {
      records.forEach((record) => gateway.records.set(record.report.id, record));
      runAt(gateway, now + POLL_MS, () => pollRegistry(gateway));
    });
  };

  const startGateway = (gateway: Gateway): void => {
    runAt(gateway, now + random() * 200, () => {
      pollRegistry(gateway);
      runCall(gateway);
    });
  };

  const sendRequest = (gateway: Gateway): void => {
    const report = mergeRecords([[...gateway.records.values()]])[0]?.report;
    if (!report) return;
    const at = readMonotonic(gateway);
    if (!gateway.permits.canSend(report, at)) {
      gateway.permits.recordDemand('s', 'refused', at);
      return;
    }
    if (!gateway.permits.isWarm(report, at)) gateway.permits.recordDemand('s', 'permitted', at);
    const canSend = gateway.permits.recordSent(report, at);
    if (isDark(now)) {
      runAt(gateway, now + CONNECT_TIMEOUT_MS, () =>
        withoutRule === 'losses'
          ? undefined
          : gateway.permits.recordLoss(report, readMonotonic(gateway)),
      );
      return;
    }
    runAt(gateway, now + sampleDelay(300), () => {
      if (!canSend()) return;
      addEvent(now + sampleDelay(60), () => {
        if (isCold(now)) arrivals.push(now);
      });
    });
  };

  const sendReport = (): void => {
    const report = createReport();
    if (!isDark(now)) {
      const lateMs = random() < LATE_SHARE ? random() * LATE_MS : 0;
      addEvent(now + sampleDelay(100) + lateMs, () => registry.applyReport(report, now));
    }
    addEvent(now + REPORT_INTERVAL_MS, sendReport);
  };

  const chooseGateway = (): Gateway => gateways[Math.floor(random() * gateways.length)]!;

  schedule.restarts.forEach((at) =>
    addEvent(coldAt + at, () => {
      const gateway = chooseGateway();
      Object.assign(gateway, { start: gateway.start + 1, records: new Map(), followed: [] });
      Object.assign(gateway, { revision: -1, pausedUntil: 0 });
      Object.assign(gateway, createGatewayPart(gateway));
      startGateway(gateway);
    }),
  );
  schedule.pauses.forEach(({ at, ms, isSuspended }) =>
    addEvent(coldAt + at, () => {
      const gateway = chooseGateway();
      if (now < gateway.pausedUntil) return;
      gateway.pausedUntil = now + ms;
      if (!isSuspended) return;
      addEvent(gateway.pausedUntil - STEP_MS, () => {
        gateway.suspendedMs += ms;
      });
    }),
  );
  registry.applyReport(createReport(), 0);
  addEvent(random() * REPORT_INTERVAL_MS, sendReport);
  gateways.forEach(startGateway);

  for (; now < endAt; now += STEP_MS) {
    events.get(now)?.forEach((run) => run());
    events.delete(now);
    if (now % 500 === 0) registry.expire(now);
    const isIdle = now % (BURST_MS + schedule.idleMs) >= BURST_MS;
    for (let due = ((isIdle ? IDLE_RATE : schedule.rate) * STEP_MS) / 1_000; due > 0; due -= 1) {
      const gateway = chooseGateway();
      if (random() < due && now >= gateway.pausedUntil) sendRequest(gateway);
    }
  }
  return { arrivals: arrivals.sort((a, b) => a - b), given, endedAt: endAt, coldAt };
};

/** Counts the most arrivals in any second. */
export const countMostInSecond = (times: readonly number[]): number => {
  let start = 0;
  let most = 0;
  times.forEach((at, index) => {
    while (times[start]! <= at - 1_000) start += 1;
    most = Math.max(most, index - start + 1);
  });
  return most;
};
