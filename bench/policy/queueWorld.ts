/* eslint-disable no-param-reassign -- the simulated endpoints are mutable */
import {
  canHedge,
  chooseAdmission,
  chooseEndpoint,
  createEndpointHealth,
  createFairQueue,
  countReservedSlots,
  createRetryBudget,
  WAIT_LIMITS_MS,
  type WorkClass,
} from '../../src/node/decisions';
import { createRandomSource, type RandomSource } from './randomSource';
import { sampleByShare, type World, type WorldTask } from './worlds';

/** The result of one caller's request. */
export interface QueueRecord {
  readonly arrivedAt: number;
  readonly organisation: string;
  readonly weight: number;
  readonly task: string;
  readonly class: WorkClass;
  readonly firstTokenMs: number;
  readonly totalMs: number;
  readonly isDone: boolean;
  readonly servedMs: number;
  /** Number of endpoints that it was sent to. */
  readonly attempts: number;
}

/** Options of one queue simulation. */
export interface QueueOptions {
  readonly world: World;
  /** Offered work divided by the capacity of all slots. */
  readonly load: number;
  readonly seconds: number;
  readonly seed: number;
  /** The production functions, or a plain router: random endpoint, FIFO queues, no limits. */
  readonly policy: 'live' | 'plain';
  /** Seconds after which a fraction of the endpoints fails. */
  readonly killAfterSeconds?: number;
  /** Fraction of the endpoints that fails. */
  readonly killFraction?: number;
  /** All organisations offer the same load, so that only their weights differ. */
  readonly isFlood?: boolean;
}

interface Job {
  readonly id: number;
  readonly arrivedAt: number;
  readonly organisation: string;
  readonly weight: number;
  readonly task: WorldTask;
  readonly zone: string;
  readonly runMs: number;
  /** Expected run time, as known to the router. The actual run may be longer or shorter. */
  readonly meanRunMs: number;
  readonly firstMs: number;
  readonly tried: Set<string>;
  isDone: boolean;
}

interface Endpoint {
  readonly name: string;
  readonly zone: string;
  readonly queue: ReturnType<typeof createFairQueue<Job>>;
  readonly plain: Job[];
  readonly running: Set<Job>;
  busy: number;
  reportedLoad: number;
  isDead: boolean;
  lastUrgentAt: number;
}

interface Event {
  readonly at: number;
  readonly run: () => void;
}

const SLOTS = 8;
const ZONE_DELAY_MS = 1.5;
const REPORT_MS = 500;
const FAILURE_DETECTION_MS = 3_000;
const ATTEMPTS = 3;
const SECOND_MS = 1_000;
const MODEL_FIRST_MS = 60;
const MODEL_TOKEN_MS = 9;

/** A binary heap of events by time. */
const createEventQueue = () => {
  const heap: Event[] = [];
  const isBefore = (a: number, b: number): boolean => heap[a]!.at < heap[b]!.at;
  const replaceItems = (a: number, b: number): void => {
    [heap[a], heap[b]] = [heap[b]!, heap[a]!];
  };
  const addEvent = (event: Event): void => {
    heap.push(event);
    let position = heap.length - 1;
    while (position > 0) {
      const parent = Math.floor((position - 1) / 2);
      if (!isBefore(position, parent)) return;
      replaceItems(position, parent);
      position = parent;
    }
  };
  const removeEvent = (): Event | undefined => {
    const first = heap[0];
    const last = heap.pop();
    if (heap.length === 0 || !last) return first;
    heap[0] = last;
    let position = 0;
    for (;;) {
      let least = position;
      for (const child of [2 * position + 1, 2 * position + 2]) {
        if (child < heap.length && isBefore(child, least)) least = child;
      }
      if (least === position) return first;
      replaceItems(position, least);
      position = least;
    }
  };
  return { addEvent, removeEvent };
};

const computeMeanRun = (world: World): number =>
  world.tasks.reduce(
    (sum, task) => sum + task.share * (MODEL_FIRST_MS + task.tokens * MODEL_TOKEN_MS),
    0,
  );

/** Simulates endpoints, their queues and one entry per zone. Returns one record per request. */
export const runQueueSimulation = (options: QueueOptions): readonly QueueRecord[] => {
  const { world, load, seconds, seed, policy } = options;
  const draws: RandomSource = createRandomSource(seed);
  const records: QueueRecord[] = [];
  const { addEvent, removeEvent } = createEventQueue();
  const health = createEndpointHealth();
  const budget = createRetryBudget(() => 0.1);
  const inFlight = new Map<string, number>();
  const endpoints: Endpoint[] = Array.from({ length: world.endpoints }, (_unused, index) => ({
    name: `engine-${index + 1}`,
    zone: world.zones[index % world.zones.length]!,
    queue: createFairQueue<Job>(),
    plain: [],
    running: new Set<Job>(),
    busy: 0,
    reportedLoad: 0,
    isDead: false,
    lastUrgentAt: -Infinity,
  }));
  const removed = new Set<string>();
  let now = 0;
  let nextId = 0;

  const schedule = (delayMs: number, run: () => void): void => addEvent({ at: now + delayMs, run });
  const formatKey = (name: string, task: WorldTask): string => `${name}|${task.class === 'urgent'}`;
  const readInFlight = (name: string, task: WorldTask): number =>
    inFlight.get(formatKey(name, task)) ?? 0;
  const updateInFlight = (name: string, task: WorldTask, change: number): void => {
    inFlight.set(formatKey(name, task), readInFlight(name, task) + change);
  };
  const computeDelay = (job: Job, endpoint: Endpoint): number =>
    job.zone === endpoint.zone ? 0.2 : ZONE_DELAY_MS;

  const recordEnd = (job: Job, isDone: boolean, startedAt: number): void => {
    if (job.isDone) return;
    const state = job;
    state.isDone = true;
    records.push({
      arrivedAt: job.arrivedAt,
      organisation: job.organisation,
      weight: job.weight,
      task: job.task.name,
      class: job.task.class,
      firstTokenMs: startedAt + job.firstMs - job.arrivedAt,
      totalMs: now - job.arrivedAt,
      isDone,
      servedMs: isDone ? job.runMs : 0,
      attempts: job.tried.size,
    });
  };

  const handleFailed = (job: Job, endpoint: Endpoint, outcome: 'failed' | 'overloaded'): void => {
    updateInFlight(endpoint.name, job.task, -1);
    if (policy === 'live') health.record(endpoint.name, 'v1', outcome, now);
    if (job.isDone) return;
    const mayRepeat = job.task.isIdempotent || outcome === 'overloaded';
    const canRetry = policy === 'plain' || budget.acquire();
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- the two call each other
    if (mayRepeat && canRetry && job.tried.size < ATTEMPTS) sendJob(job);
    else recordEnd(job, false, now);
  };

  const removeNext = (endpoint: Endpoint): Job | undefined => {
    if (policy === 'plain') return endpoint.plain.shift();
    const reserved = countReservedSlots(SLOTS, now - endpoint.lastUrgentAt);
    endpoint.queue.expire(now).forEach((item) => handleFailed(item.value, endpoint, 'overloaded'));
    const item = endpoint.queue.next(endpoint.busy >= SLOTS - reserved);
    return item?.value;
  };

  const startJob = (endpoint: Endpoint, job: Job): void => {
    endpoint.busy += 1;
    endpoint.running.add(job);
    const startedAt = now;
    schedule(job.runMs, () => {
      if (!endpoint.running.delete(job)) return;
      endpoint.busy -= 1;
      updateInFlight(endpoint.name, job.task, -1);
      health.record(endpoint.name, 'v1', 'ok', now);
      recordEnd(job, true, startedAt);
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- the two call each other
      advanceEndpoint(endpoint);
    });
  };

  const advanceEndpoint = (endpoint: Endpoint): void => {
    while (!endpoint.isDead && endpoint.busy < SLOTS) {
      const job = removeNext(endpoint);
      if (!job) return;
      if (job.isDone) {
        updateInFlight(endpoint.name, job.task, -1);
        continue;
      }
      startJob(endpoint, job);
    }
  };

  const admitJob = (job: Job, endpoint: Endpoint): void => {
    if (endpoint.isDead) {
      handleFailed(job, endpoint, 'failed');
      return;
    }
    if (policy === 'plain') {
      endpoint.plain.push(job);
      advanceEndpoint(endpoint);
      return;
    }
    const { task, organisation, weight } = job;
    const { queue } = endpoint;
    if (task.class === 'urgent') endpoint.lastUrgentAt = now;
    const ahead = queue.count() > 0 ? queue.estimateWorkAhead(organisation, weight, task.class) : 0;
    const elapsed = now - job.arrivedAt;
    const remainingMs = task.deadlineMs === undefined ? undefined : task.deadlineMs - elapsed;
    const servedPerMs = SLOTS;
    const admissionInput = { class: task.class, remainingMs, runMs: 0, ahead, servedPerMs };
    if (chooseAdmission(admissionInput).type === 'refused') {
      handleFailed(job, endpoint, 'overloaded');
      return;
    }
    const expiresAt = now + Math.min(WAIT_LIMITS_MS[task.class], remainingMs ?? Infinity);
    const item = {
      value: job,
      organisation,
      weight,
      class: task.class,
      size: job.meanRunMs,
      expiresAt,
    };
    queue.add(item);
    advanceEndpoint(endpoint);
  };

  const chooseLive = (job: Job): Endpoint | undefined => {
    const known = endpoints.filter((item) => !removed.has(item.name));
    const ejected = health.listEjected(
      known.map((item) => item.name),
      now,
    );
    const choice = chooseEndpoint({
      candidates: known.map((item) => ({
        endpoint: item.name,
        zone: item.zone,
        slots: SLOTS,
        inFlight: readInFlight(item.name, job.task),
        reportedLoad: job.task.class === 'urgent' ? undefined : item.reportedLoad,
        reportAgeMs: REPORT_MS,
        slowStartFactor: 1,
        isEjected: ejected.has(item.name) || health.isOpen(item.name, 'v1', now),
      })),
      zone: job.zone,
      entry: job.zone,
      subsetSize: 24,
      excluded: job.tried,
      draws: [draws.uniform(), draws.uniform()],
    });
    return endpoints.find((item) => item.name === choice?.endpoint);
  };

  const choosePlain = (job: Job): Endpoint | undefined => {
    const known = endpoints.filter((item) => !removed.has(item.name) && !job.tried.has(item.name));
    return known[Math.floor(draws.uniform() * known.length)];
  };

  const sendJob = (job: Job): void => {
    const endpoint = policy === 'live' ? chooseLive(job) : choosePlain(job);
    if (!endpoint) {
      recordEnd(job, false, now);
      return;
    }
    job.tried.add(endpoint.name);
    updateInFlight(endpoint.name, job.task, 1);
    schedule(computeDelay(job, endpoint), () => admitJob(job, endpoint));
  };

  const startHedge = (job: Job): void => {
    const slowTimeMs = WAIT_LIMITS_MS.urgent / 2;
    const { task } = job;
    const hedgeInput = {
      class: task.class,
      isIdempotent: task.isIdempotent,
      hasAnswer: job.isDone,
    };
    if (!canHedge({ ...hedgeInput, waitedMs: slowTimeMs, p95TimeMs: slowTimeMs })) return;
    const isQueued = endpoints.every((item) => !item.running.has(job));
    if (isQueued && job.tried.size < ATTEMPTS && budget.acquire()) sendJob(job);
  };

  const meanRunMs = computeMeanRun(world);
  const perSecond = (load * world.endpoints * SLOTS * SECOND_MS) / meanRunMs;

  const handleArrival = (): void => {
    const task = sampleByShare(draws, world.tasks);
    const organisation = options.isFlood
      ? world.organisations[Math.floor(draws.uniform() * world.organisations.length)]!
      : sampleByShare(draws, world.organisations);
    const size = 0.5 + draws.uniform();
    nextId += 1;
    const job: Job = {
      id: nextId,
      arrivedAt: now,
      organisation: organisation.name,
      weight: organisation.weight,
      task,
      zone: world.zones[Math.floor(draws.uniform() * world.zones.length)]!,
      firstMs: MODEL_FIRST_MS,
      meanRunMs: MODEL_FIRST_MS + task.tokens * MODEL_TOKEN_MS,
      runMs: MODEL_FIRST_MS + task.tokens * MODEL_TOKEN_MS * size,
      tried: new Set(),
      isDone: false,
    };
    budget.recordFirstRun();
    sendJob(job);
    if (policy === 'live') schedule(WAIT_LIMITS_MS.urgent / 2, () => startHedge(job));
    if (now < seconds * SECOND_MS)
      schedule(draws.exponential(SECOND_MS / perSecond), handleArrival);
  };

  const announceLoads = (): void => {
    for (const endpoint of endpoints) {
      endpoint.reportedLoad = endpoint.busy + endpoint.queue.count() + endpoint.plain.length;
      if (policy === 'live' && !endpoint.isDead) advanceEndpoint(endpoint);
    }
    if (now < 2 * seconds * SECOND_MS) schedule(REPORT_MS, announceLoads);
  };

  const stopEndpoints = (): void => {
    const failing = endpoints.slice(
      0,
      Math.ceil(endpoints.length * (options.killFraction ?? 1 / 3)),
    );
    for (const endpoint of failing) {
      endpoint.isDead = true;
      const lost = [...endpoint.running, ...endpoint.plain.splice(0)];
      endpoint.running.clear();
      const queued = endpoint.queue.remove(() => true).map((item) => item.value);
      [...lost, ...queued].forEach((job) => handleFailed(job, endpoint, 'failed'));
      schedule(FAILURE_DETECTION_MS, () => removed.add(endpoint.name));
    }
  };

  schedule(0, handleArrival);
  schedule(0, announceLoads);
  if (options.killAfterSeconds !== undefined) {
    schedule(options.killAfterSeconds * SECOND_MS, stopEndpoints);
  }
  for (;;) {
    const event = removeEvent();
    if (!event) return records;
    now = event.at;
    event.run();
  }
};
