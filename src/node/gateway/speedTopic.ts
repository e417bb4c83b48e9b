import type { Logger } from '../log';
import type { SpeedCursor } from '../routingControl';
import type { ExchangeTopic } from './peerExchange';
import type { ServiceSpeeds } from './serviceSpeeds';

/** Options of the topic of endpoint speeds. */
export interface SpeedTopicOptions {
  readonly speeds: ServiceSpeeds;
  readonly log: Logger;
  /** Returns the monotonic time in milliseconds. */
  readonly readNow: () => number;
}

/** Speeds of other gateways count for this time without an answer, in milliseconds. */
const CONTROL_LOST_MS = 2_000;
/** Pauses after failures. A control host of an earlier version never answers this topic. */
const FIRST_PAUSE_MS = 500;
const MAX_PAUSE_MS = 30_000;

/** Creates the topic that shares the measured speeds of endpoints. */
export const createSpeedTopic = (options: SpeedTopicOptions): ExchangeTopic<'speeds'> => {
  const { speeds, log, readNow } = options;
  let cursor: SpeedCursor | undefined;
  let answeredAt = -Infinity;
  let peer: string | undefined;
  let pauseMs = 0;
  let pausedUntil = -Infinity;
  let hasShared = false;

  const expireShared = (): void => {
    if (!hasShared || readNow() - answeredAt <= CONTROL_LOST_MS) return;
    hasShared = false;
    cursor = undefined;
    speeds.removeShared();
    log.info(
      { peer, sinceAnswerMs: Math.round(readNow() - answeredAt) },
      'endpoint speeds come from own samples only',
    );
  };

  return {
    name: 'speeds',
    createReport: (host) => {
      expireShared();
      if (host !== peer) pausedUntil = -Infinity;
      peer = host;
      if (readNow() < pausedUntil) return undefined;
      return {
        report: { samples: speeds.drainSamples(), cursor },
        applyAnswer: (answer) => {
          if (!hasShared) log.info({ peer: host }, 'endpoint speeds come from all gateways');
          hasShared = true;
          pauseMs = 0;
          answeredAt = readNow();
          cursor = answer.cursor;
          speeds.applyShared(answer.speeds, readNow());
        },
        // Samples of a failed call are not sent again: those of the next call say more.
        handleFailure: () => {
          pauseMs = Math.min(MAX_PAUSE_MS, Math.max(FIRST_PAUSE_MS, 2 * pauseMs));
          pausedUntil = readNow() + pauseMs;
          expireShared();
        },
      };
    },
  };
};
