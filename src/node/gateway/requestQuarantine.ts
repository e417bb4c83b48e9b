import {
  chooseCulprits,
  computeHoldMs,
  createSuspect,
  judgeSuspect,
  MAX_COMPANIONS,
  mergeSuspects,
  type EndpointLoss,
  type Suspect,
  type SuspicionVerdict,
} from '../decisions';
import type { Logger } from '../log';
import { formatSuspectKey } from '../routingControl';
import { createAnsweredKeys } from './answeredKeys';
import { createAttemptHistory } from './attemptHistory';
import type { SuspectTable } from './suspectTable';
import type { PromptBlock } from './types';

/** The prompt of a request to a service. */
export interface ServiceRequest {
  readonly service: string;
  readonly blocks: readonly PromptBlock[];
}

/** A quarantined block of a prompt. */
export interface QuarantineHold {
  readonly service: string;
  readonly id: string;
  readonly level: number;
  /** Endpoint incarnations that were lost with the block, as far as known here. */
  readonly losses: number;
  /** Milliseconds until the next probe may be sent; 0 if it is due. */
  readonly waitMs: number;
}

/** The lost attempt of a request. */
export type AttemptLoss = Omit<EndpointLoss, 'companions'>;

/** Decides which prompt blocks take endpoints down, from what all gateways have seen. */
export interface RequestQuarantine {
  /** Records that an endpoint has survived the start of an answer. */
  readonly recordAnswer: (request: ServiceRequest) => void;
  /** Records that an attempt ended with its connection before that. */
  readonly recordLoss: (prompt: ServiceRequest, request: string, loss: AttemptLoss) => void;
  /** Merges records of other gateways. */
  readonly applyPeerSuspects: (suspects: readonly Suspect[]) => void;
  /** Lists the quarantined blocks of a prompt. */
  readonly listHolds: (request: ServiceRequest) => readonly QuarantineHold[];
  /** Removes old records. */
  readonly expire: () => void;
}

/** Options of a prompt quarantine. */
export interface RequestQuarantineOptions {
  readonly suspects: SuspectTable;
  readonly log: Logger;
  /** Returns the monotonic time in milliseconds. */
  readonly readNow: () => number;
}

const listKeys = ({ service, blocks }: ServiceRequest): readonly string[] =>
  blocks.map(({ id }) => formatSuspectKey({ service, id }));

const isCleared = ({ losses, quarantine }: Suspect): boolean => losses.length === 0 && !quarantine;

/** Creates a quarantine. */
export const createRequestQuarantine = (options: RequestQuarantineOptions): RequestQuarantine => {
  const { suspects, log, readNow } = options;
  const answered = createAnsweredKeys();
  const history = createAttemptHistory();

  const listVerdicts = (keys: readonly string[]): readonly SuspicionVerdict[] =>
    keys.flatMap((key) => {
      const suspect = suspects.find(key);
      if (!suspect) return [];
      const quarantined = suspects.listQuarantined(suspect.service);
      const counts = history.countOthers(suspect.service, key, readNow());
      const verdict = judgeSuspect({ suspect, quarantined, ...counts });
      return verdict ? [verdict] : [];
    });

  const startQuarantine = ({ suspect, losses, needed, isAnswering }: SuspicionVerdict): void => {
    const { service, id: block, answeredAt } = suspect;
    const key = formatSuspectKey(suspect);
    const counts = history.countOthers(service, key, readNow());
    const answeredAgeMs = answeredAt === undefined ? undefined : Math.round(readNow() - answeredAt);
    log.warn(
      { service, block, losses, needed, isAnswering, ...counts, answeredAgeMs },
      'prompt block quarantined: its requests take endpoints down',
    );
    suspects.update(key, { ...suspect, quarantine: { level: 1, since: readNow() } }, true);
  };

  // A quarantined block explains losses of others, so these are judged again after each round.
  const judge = (keys: readonly string[]): void => {
    let verdicts = listVerdicts(keys);
    while (verdicts.length > 0) {
      chooseCulprits(verdicts).forEach(startQuarantine);
      verdicts = listVerdicts(keys);
    }
  };

  const applyPeerSuspect = (received: Suspect): string => {
    const key = formatSuspectKey(received);
    const before = suspects.find(key) ?? createSuspect(received);
    const answeredAt = answered.find(key);
    const merged = mergeSuspects(mergeSuspects(before, received), { ...before, answeredAt });
    const { service, id: block, quarantine } = merged;
    if (quarantine && quarantine.level !== before.quarantine?.level) {
      const ageMs = Math.round(readNow() - quarantine.since);
      log.warn(
        { service, block, level: quarantine.level, ageMs, losses: merged.losses.length },
        'prompt block quarantined by another gateway',
      );
    }
    // The other gateways do not know yet that the block was answered here.
    const isNews = answeredAt !== undefined && received.answeredAt === undefined;
    suspects.update(key, merged, isNews || isCleared(merged) !== isCleared(received));
    return key;
  };

  return {
    recordAnswer: (prompt) => {
      const now = readNow();
      const keys = listKeys(prompt);
      history.record({
        service: prompt.service,
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
    recordLoss: (prompt, request, loss) => {
      const { service, blocks } = prompt;
      const keys = listKeys(prompt);
      const { isAnswering, lostAt } = loss;
      history.record({ service, keys, isLost: true, isAnswering, at: lostAt });
      const sharedIds = blocks.slice(0, -1).map(({ id }) => id);
      blocks.forEach(({ id }, depth) => {
        const key = keys[depth]!;
        const kind = depth === blocks.length - 1 ? 'own_block' : 'shared_block';
        const known = suspects.find(key) ?? createSuspect({ service, kind, id, depth });
        const companions = sharedIds.filter((other) => other !== id).slice(0, MAX_COMPANIONS);
        const news = {
          ...known,
          losses: [{ ...loss, companions }],
          answeredAt: answered.find(key),
        };
        suspects.update(key, mergeSuspects(known, news), true);
      });
      log.info(
        {
          request,
          service,
          blocks: blocks.map(({ id }) => id),
          losses: keys.map((key) => suspects.find(key)?.losses.length),
          incarnation: loss.incarnation,
          isAnswering,
          attemptMs: Math.round(lostAt - loss.startedAt),
        },
        'prompt blocks suspected: the endpoint was lost before it had answered',
      );
      judge(keys);
    },
    applyPeerSuspects: (records) => judge(records.map(applyPeerSuspect)),
    listHolds: (prompt) => {
      if (suspects.count() === 0) return [];
      return listKeys(prompt).flatMap((key) => {
        const suspect = suspects.find(key);
        if (!suspect?.quarantine) return [];
        const { service, id, quarantine, losses } = suspect;
        const waitMs = Math.max(0, quarantine.since + computeHoldMs(quarantine) - readNow());
        return [{ service, id, level: quarantine.level, losses: losses.length, waitMs }];
      });
    },
    expire: () => {
      suspects.expire(readNow());
      answered.expire(readNow());
    },
  };
};
