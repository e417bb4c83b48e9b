import { z } from 'zod';
import { exchangeLoadParams, type ExchangeLoadAnswer, type LoadAggregator } from './loadAggregator';
import {
  bindSessionsParams,
  type BindSessionsAnswer,
  type SessionDirectory,
} from './sessionDirectory';
import { shareLimitsParams, type LimitTable, type ShareLimitsAnswer } from './limitTable';
import {
  shareSuspectsParams,
  type ShareSuspectsAnswer,
  type SuspectDirectory,
} from './suspectDirectory';

/**
 * Schema of the parameters of `gateway.exchange`: a gateway's reports, by topic. A topic without a
 * report gets no answer.
 */
export const exchangeParams = z.strictObject({
  gateway: z.string(),
  loads: exchangeLoadParams.omit({ gateway: true }).optional(),
  sessions: bindSessionsParams.omit({ gateway: true }).optional(),
  suspects: shareSuspectsParams.optional(),
  limits: shareLimitsParams.optional(),
});

/** Parameters of `gateway.exchange`. */
export type ExchangeParams = Readonly<z.infer<typeof exchangeParams>>;

/** Result of `gateway.exchange`: what the other gateways have reported, by topic. */
export interface ExchangeAnswer {
  readonly loads?: ExchangeLoadAnswer;
  readonly sessions?: BindSessionsAnswer;
  readonly suspects?: ShareSuspectsAnswer;
  readonly limits?: ShareLimitsAnswer;
}

/** Name of a topic of the exchange. */
export type ExchangeTopicName = keyof ExchangeAnswer;

/** The tables of a control host that collect the reports of all gateways. They are soft state. */
export interface ExchangeTables {
  readonly loads: LoadAggregator;
  readonly sessions: SessionDirectory;
  readonly suspects: SuspectDirectory;
  readonly limits: LimitTable;
}

type TopicHandler<N extends ExchangeTopicName> = (
  report: NonNullable<ExchangeParams[N]>,
  gateway: string,
  now: number,
) => NonNullable<ExchangeAnswer[N]>;

type TopicHandlers = { readonly [N in ExchangeTopicName]: TopicHandler<N> };

/** Answers the reports of gateways; `now` is monotonic time in milliseconds. */
export type ExchangeHandler = (params: ExchangeParams, now: number) => ExchangeAnswer;

/** Creates the handler of `gateway.exchange`. */
export const createExchangeHandler = (tables: ExchangeTables): ExchangeHandler => {
  const { loads, sessions, suspects, limits } = tables;
  const handlers: TopicHandlers = {
    loads: (report, gateway, now) => loads.exchange({ gateway, ...report }, now),
    sessions: (report, gateway, now) => sessions.bind({ gateway, ...report }, now),
    suspects: (report, _gateway, now) => suspects.share(report, now),
    limits: (report, _gateway, now) => limits.share(report, now),
  };
  const names = Object.keys(handlers) as readonly ExchangeTopicName[];
  return (params, now) =>
    Object.fromEntries(
      names.flatMap((name) => {
        const report = params[name];
        const handle = handlers[name] as TopicHandler<ExchangeTopicName>;
        return report === undefined ? [] : [[name, handle(report, params.gateway, now)]];
      }),
    );
};
