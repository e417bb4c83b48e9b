import type { Logger } from '../log';
import type { GatewayMetrics } from './gatewayMetrics';
import type { ServiceSpeeds } from './serviceSpeeds';

/** Logs and counts what is known about the speeds of endpoints. */
export interface SpeedWatch {
  /** Logs endpoints that left the usual range or came back; `now` is monotonic milliseconds. */
  readonly logChanges: (now: number) => void;
  /** Adds the present factors to the metrics. */
  readonly recordMetrics: (now: number) => void;
}

/** Options of a speed watch. */
export interface SpeedWatchOptions {
  readonly speeds: Pick<ServiceSpeeds, 'listAll'>;
  readonly metrics: Pick<GatewayMetrics, 'endpointSpeed'>;
  readonly log: Logger;
}

/** Factors within this range are not worth a line. */
const MIN_FACTOR = 0.67;
const MAX_FACTOR = 1.5;
/** The range in which a factor counts as back is narrower, so that it can't pass the end often. */
const RETURN_FACTOR = 1.35;
/** Limit of lines in one pass; a change that isn't logged is found again in the next. */
const MAX_LINES = 10;

const isOutside = (factor: number, wasOutside: boolean): boolean =>
  wasOutside
    ? factor < 1 / RETURN_FACTOR || factor > RETURN_FACTOR
    : factor < MIN_FACTOR || factor > MAX_FACTOR;

/** Creates a watch that takes every endpoint to be in the usual range. */
export const createSpeedWatch = ({ speeds, metrics, log }: SpeedWatchOptions): SpeedWatch => {
  let outside: ReadonlySet<string> = new Set();
  return {
    logChanges: (now) => {
      const next = new Set<string>();
      let lines = 0;
      speeds.listAll(now).forEach(({ kind, endpoint, factor, samples, ageMs }) => {
        const key = `${kind}|${endpoint}`;
        const was = outside.has(key);
        const is = isOutside(factor, was);
        const isLogged = is !== was && lines < MAX_LINES;
        if (isLogged ? is : was) next.add(key);
        if (!isLogged) return;
        lines += 1;
        const facts = {
          kind,
          incarnation: endpoint,
          factor: Number(factor.toFixed(2)),
          samples: Math.round(samples),
          ageMs: Math.round(ageMs),
        };
        log.info(facts, is ? 'endpoint differs in speed' : 'endpoint is as fast as its pool again');
      });
      outside = next;
    },
    recordMetrics: (now) =>
      speeds
        .listAll(now)
        .forEach(({ kind, factor }) => metrics.endpointSpeed.observe({ kind }, factor)),
  };
};
