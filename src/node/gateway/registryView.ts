import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { convertToRouterError } from '../errors';
import type { Logger } from '../log';
import {
  formatIncarnation,
  mergeRecords,
  type EndpointRecord,
  type EndpointReport,
  type KnownEndpoint,
} from '../registry';
import { MAX_FOLLOWED, type RegistryAnswer } from '../routingControl';
import type { RpcClient } from '../rpc';
import {
  countLostHosts,
  createHostRecords,
  listHostRecords,
  type HostRecords,
} from './hostRecords';

/** The endpoints that report to any of the control hosts. */
export interface RegistryView {
  /** Lists the endpoints of a service, including those that accept no new requests. */
  readonly listEndpoints: (service: string) => readonly KnownEndpoint[];
  readonly findEndpoint: (id: string) => EndpointReport | undefined;
  /** Finds an endpoint by its incarnation, as `formatIncarnation` formats it. */
  readonly findIncarnation: (incarnation: string) => EndpointReport | undefined;
  /** Records that an incarnation has said itself that it is about to end. */
  readonly recordLeaving: (endpoint: EndpointReport, request: string) => void;
  /** Replaces the ids of the endpoints of which every report is needed. */
  readonly updateFollowed: (ids: readonly string[]) => void;
  /** Whether any control host has answered. */
  readonly hasAnswer: () => boolean;
  readonly start: () => void;
  readonly stop: () => void;
}

/** Options of a registry view. */
export interface RegistryViewOptions {
  readonly rpc: Pick<RpcClient, 'call'>;
  readonly log: Logger;
  readonly listControlHosts: () => readonly string[];
}

interface EndedRecord {
  readonly record: EndpointRecord;
  readonly seenAt: number;
}

/**
 * How long a watch call waits for a change; a change ends the call at once. A dead connection is
 * detected only after this wait plus `WATCH_GRACE_MS`, so the wait must be short.
 */
const WATCH_WAIT_MS = 1_600;
/** Time beyond the wait after which the watch call times out. */
const WATCH_GRACE_MS = 600;
/** Wait while reports are followed, which do not end a call. */
const FOLLOW_WAIT_MS = 400;
const RETRY_PAUSE_MS = 200;
const WATCH_PAUSE_MS = 20;
/** Must be much longer than the few seconds by which a report can be late. */
const ENDED_RETENTION_MS = 60_000;
/** How often the list of control hosts is checked for changes. */
const HOST_LIST_INTERVAL_MS = 250;

const computeGroups = (
  endpoints: readonly KnownEndpoint[],
): ReadonlyMap<string, readonly KnownEndpoint[]> => {
  const groups = new Map<string, KnownEndpoint[]>();
  for (const endpoint of endpoints) {
    const { service } = endpoint.report;
    const group = groups.get(service);
    if (group) group.push(endpoint);
    else groups.set(service, [endpoint]);
  }
  return groups;
};

const logChanges = (
  log: Logger,
  known: ReadonlyMap<string, KnownEndpoint>,
  next: readonly KnownEndpoint[],
): void => {
  const nextById = new Map(next.map((endpoint) => [endpoint.report.id, endpoint]));
  for (const [id, endpoint] of nextById) {
    const before = known.get(id);
    if (before?.isReady === endpoint.isReady) continue;
    const { service, address, zone, version, startedAt, sequence } = endpoint.report;
    const { isReady } = endpoint;
    log.info(
      { endpoint: id, service, address, zone, version, startedAt, sequence, isReady },
      'endpoint added or changed readiness',
    );
  }
  for (const id of known.keys()) {
    if (!nextById.has(id)) log.info({ endpoint: id }, 'endpoint removed');
  }
};

const logReachable = (
  log: Logger,
  host: string,
  state: HostRecords,
  isReachable: boolean,
): void => {
  if (state.isReachable === isReachable) return;
  state.isReachable = isReachable;
  if (isReachable) log.info({ peer: host }, 'control host is reachable again');
  else log.warn({ peer: host }, 'control host did not answer');
};

// Whether a control host still says that an incarnation accepts requests.
const isReportedReady = (
  hosts: ReadonlyMap<string, HostRecords>,
  { report }: EndpointRecord,
): boolean =>
  [...hosts.values()].some(({ records }) => {
    const known = records.get(report.id);
    return known?.state === 'ready' && known.report.startedAt === report.startedAt;
  });

/**
 * Creates a registry view. It watches every control host, because each one has only the reports
 * sent to it.
 */
export const createRegistryView = (options: RegistryViewOptions): RegistryView => {
  const { rpc, log, listControlHosts } = options;
  const hosts = new Map<string, HostRecords>();
  /**
   * Incarnations that were seen draining or removed, or said that they leave. A control host may not
   * know about them, because it was restarted or their reports are late.
   */
  const endedIncarnations = new Map<string, EndedRecord>();
  let byService: ReadonlyMap<string, readonly KnownEndpoint[]> = new Map();
  let byId: ReadonlyMap<string, KnownEndpoint> = new Map();
  let byIncarnation: ReadonlyMap<string, EndpointReport> = new Map();
  let lostHosts = 0;
  let followed: readonly string[] = [];
  let hasAnswer = false;
  let isStopped = false;
  let timer: NodeJS.Timeout | undefined;

  const mergeAll = (): void => {
    const lists = listHostRecords([...hosts.values()], performance.now());
    const next = mergeRecords([
      ...lists,
      [...endedIncarnations.values()].map(({ record }) => record),
    ]);
    logChanges(log, byId, next);
    byService = computeGroups(next);
    byId = new Map(next.map((endpoint) => [endpoint.report.id, endpoint]));
    byIncarnation = new Map(next.map(({ report }) => [formatIncarnation(report), report]));
  };

  const recordEnded = (record: EndpointRecord): void => {
    endedIncarnations.set(formatIncarnation(record.report), { record, seenAt: performance.now() });
  };

  const applyAnswer = (state: HostRecords, answer: RegistryAnswer): void => {
    state.answeredAt = performance.now();
    if (state.bootId !== answer.bootId) state.refusesFollowed = false;
    state.bootId = answer.bootId;
    state.revision = answer.revision;
    if (answer.isWhole) state.records.clear();
    for (const record of answer.records) {
      state.records.set(record.report.id, record);
      if (record.state === 'gone' || record.state === 'draining') recordEnded(record);
    }
    state.hasChanges ||= answer.isWhole || answer.records.length > 0;
    if (answer.hasMore) return;
    hasAnswer = true;
    if (state.hasChanges) mergeAll();
    state.hasChanges = false;
  };

  const fetchRecords = async (host: string, state: HostRecords): Promise<void> => {
    const { bootId, revision } = state;
    const isFollowing = followed.length > 0 && !state.refusesFollowed;
    const waitMs = isFollowing ? FOLLOW_WAIT_MS : WATCH_WAIT_MS;
    const params = { bootId, revision, waitMs, ...(isFollowing && { followed }) };
    const timeoutMs = waitMs + WATCH_GRACE_MS;
    const answer = await rpc.call<RegistryAnswer>(host, 'registry.watch', params, { timeoutMs });
    if (isStopped) return;
    logReachable(log, host, state, answer.isRight());
    answer.ifRight((value) => applyAnswer(state, value));
    answer.ifLeft(({ type }) => {
      if (isFollowing && type === 'invalid_request') state.refusesFollowed = true;
    });
    const hasMore = answer.map((value) => value.hasMore === true).orDefault(false);
    if (!hasMore) await sleep(answer.isRight() ? WATCH_PAUSE_MS : RETRY_PAUSE_MS);
  };

  const run = async (host: string, state: HostRecords): Promise<void> => {
    while (!isStopped && hosts.get(host) === state) await fetchRecords(host, state);
  };

  const expireEnded = (): void => {
    const oldest = performance.now() - ENDED_RETENTION_MS;
    for (const [name, { record, seenAt }] of endedIncarnations) {
      if (seenAt < oldest && !isReportedReady(hosts, record)) endedIncarnations.delete(name);
    }
  };

  const checkLostHosts = (): void => {
    const count = countLostHosts([...hosts.values()], performance.now());
    if (count === lostHosts) return;
    lostHosts = count;
    mergeAll();
  };

  const updateHosts = (): void => {
    expireEnded();
    checkLostHosts();
    const listed = listControlHosts();
    for (const host of hosts.keys()) {
      if (!listed.includes(host)) hosts.delete(host);
    }
    for (const host of listed) {
      if (hosts.has(host)) continue;
      const state = createHostRecords(performance.now());
      hosts.set(host, state);
      run(host, state).catch((cause: unknown) => {
        hosts.delete(host);
        const error = convertToRouterError(cause, 'gateway.registry', host);
        log.error({ peer: host, err: error }, 'watch of the endpoints failed; restarting it');
      });
    }
  };

  return {
    listEndpoints: (service) => byService.get(service) ?? [],
    findEndpoint: (id) => byId.get(id)?.report,
    findIncarnation: (incarnation) => byIncarnation.get(incarnation),
    recordLeaving: (report, request) => {
      const incarnation = formatIncarnation(report);
      if (endedIncarnations.has(incarnation)) return;
      log.info({ request, incarnation }, 'endpoint says that it leaves');
      recordEnded({ report, state: 'draining', heardAt: performance.now() });
      mergeAll();
    },
    updateFollowed: (ids) => {
      followed = ids.slice(0, MAX_FOLLOWED);
    },
    hasAnswer: () => hasAnswer,
    start: () => {
      updateHosts();
      timer = setInterval(updateHosts, HOST_LIST_INTERVAL_MS);
    },
    stop: () => {
      isStopped = true;
      clearInterval(timer);
    },
  };
};
