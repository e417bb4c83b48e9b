import {
  computeHoldMs,
  createSuspect,
  MAX_COMPANIONS,
  mergeSuspects,
  type EndpointLoss,
  type Suspect,
} from '../decisions';
import type { Logger } from '../log';
import { formatSuspectKey } from '../routingControl';
import { createAnsweredKeys } from './answeredKeys';
import { createAttemptHistory } from './attemptHistory';
import { createSuspectJudge } from './suspectJudge';
import type { SuspectTable } from './suspectTable';
import type { PromptBlock } from './types';

/** What a request to a service is recognised by. */
export interface ServiceRequest {
  readonly service: string;
  /** The same for each return of the request, whatever its id. */
  readonly fingerprint: string;
  /** Blocks of its prompt; empty for a request to a plain service. */
  readonly blocks: readonly PromptBlock[];
}

/** The quarantine of a request, or of a block of its prompt. */
export interface QuarantineHold extends Pick<Suspect, 'service' | 'kind' | 'id'> {
  readonly level: number;
  /** Endpoint incarnations that were lost with the suspect, as far as known here. */
  readonly losses: number;
  /** Milliseconds until the next probe may be sent; 0 if it is due. */
  readonly waitMs: number;
}

/** The lost attempt of a request. */
export type AttemptLoss = Omit<EndpointLoss, 'companions' | 'requests'>;

/** Decides which requests and prompt blocks take endpoints down, from what all gateways have seen. */
export interface RequestQuarantine {
  /** Records that an endpoint has survived the start of an answer. */
  readonly recordAnswer: (request: ServiceRequest) => void;
  /** Records that an attempt ended with its connection before that. */
  readonly recordLoss: (request: ServiceRequest, requestId: string, loss: AttemptLoss) => void;
  /** Merges records of other gateways. */
  readonly applyPeerSuspects: (suspects: readonly Suspect[]) => void;
  /** Lists the quarantines that apply to a request, those of its blocks in their order. */
  readonly listHolds: (request: ServiceRequest) => readonly QuarantineHold[];
  /** Removes old records. */
  readonly expire: () => void;
}

/** Options of a quarantine. */
export interface RequestQuarantineOptions {
  readonly suspects: SuspectTable;
  readonly log: Logger;
  /** Returns the monotonic time in milliseconds. */
  readonly readNow: () => number;
}

type SuspectIdentity = Pick<Suspect, 'service' | 'kind' | 'id' | 'depth'>;

const listIdentities = (request: ServiceRequest): readonly SuspectIdentity[] => {
  const { service, fingerprint, blocks } = request;
  return [
    ...blocks.map(({ id }, depth) => {
      const kind = depth === blocks.length - 1 ? 'own_block' : 'shared_block';
      return { service, kind, id, depth } as const;
    }),
    { service, kind: 'request', id: fingerprint, depth: 0 },
  ];
};

const listKeys = (request: ServiceRequest): readonly string[] =>
  listIdentities(request).map(formatSuspectKey);

const isCleared = ({ losses, quarantine }: Suspect): boolean => losses.length === 0 && !quarantine;

/** Creates a quarantine. */
export const createRequestQuarantine = (options: RequestQuarantineOptions): RequestQuarantine => {
  const { suspects, log, readNow } = options;
  const answered = createAnsweredKeys();
  const history = createAttemptHistory();

  const judge = createSuspectJudge({ ...options, history });

  const applyPeerSuspect = (received: Suspect): string => {
    const key = formatSuspectKey(received);
    const before = suspects.find(key) ?? createSuspect(received);
    const answeredAt = answered.find(key);
    const merged = mergeSuspects(mergeSuspects(before, received), { ...before, answeredAt });
    const { service, kind, id, quarantine } = merged;
    if (quarantine && quarantine.level !== before.quarantine?.level) {
      const ageMs = Math.round(readNow() - quarantine.since);
      log.warn(
        { service, kind, id, level: quarantine.level, ageMs, losses: merged.losses.length },
        'quarantine started by another gateway',
      );
    }
    // The other gateways do not know yet that the suspect was answered here.
    const isNews = answeredAt !== undefined && received.answeredAt === undefined;
    suspects.update(key, merged, isNews || isCleared(merged) !== isCleared(received));
    return key;
  };

  return {
    recordAnswer: (request) => {
      const now = readNow();
      const keys = listKeys(request);
      history.record({
        service: request.service,
        keys,
        isLost: false,
        isAnswering: true,
        at: now,
      });
      keys.forEach((key) => {
        answered.record(key, now);
        const suspect = suspects.find(key);
        if (!suspect) return;
        const isNews = !isCleared(suspect) || suspect.answeredAt === undefined;
        suspects.update(key, mergeSuspects(suspect, { ...suspect, answeredAt: now }), isNews);
      });
    },
    recordLoss: (request, requestId, loss) => {
      const { service, fingerprint, blocks } = request;
      const identities = listIdentities(request);
      const keys = identities.map(formatSuspectKey);
      const { isAnswering, lostAt } = loss;
      history.record({ service, keys, isLost: true, isAnswering, at: lostAt });
      const sharedIds = blocks.slice(0, -1).map(({ id }) => id);
      identities.forEach((identity, index) => {
        const key = keys[index]!;
        const known = suspects.find(key) ?? createSuspect(identity);
        const companions = sharedIds
          .filter((other) => identity.kind === 'request' || other !== identity.id)
          .slice(0, MAX_COMPANIONS);
        const news = {
          ...known,
          losses: [{ ...loss, companions, requests: [fingerprint] }],
          answeredAt: answered.find(key),
        };
        suspects.update(key, mergeSuspects(known, news), true);
      });
      log.info(
        {
          request: requestId,
          service,
          fingerprint,
          blocks: blocks.map(({ id }) => id),
          // The blocks' numbers in their order, then the request's own.
          losses: keys.map((key) => suspects.find(key)?.losses.length),
          incarnation: loss.incarnation,
          isAnswering,
          attemptMs: Math.round(lostAt - loss.startedAt),
        },
        'request suspected: the endpoint was lost before it had answered',
      );
      judge(keys);
    },
    applyPeerSuspects: (records) => judge(records.map(applyPeerSuspect)),
    listHolds: (request) => {
      if (suspects.count() === 0) return [];
      return listKeys(request).flatMap((key) => {
        const suspect = suspects.find(key);
        if (!suspect?.quarantine) return [];
        const { service, kind, id, quarantine, losses } = suspect;
        const waitMs = Math.max(0, quarantine.since + computeHoldMs(quarantine) - readNow());
        return [{ service, kind, id, level: quarantine.level, losses: losses.length, waitMs }];
      });
    },
    expire: () => {
      suspects.expire(readNow());
      answered.expire(readNow());
    },
  };
};
