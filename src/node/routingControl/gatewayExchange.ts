import { z, type ZodType } from 'zod';
import { convertToRouterError } from '../errors';
import type { Logger } from '../log';
import { exchangeLoadParams, type ExchangeLoadAnswer, type LoadAggregator } from './loadAggregator';
import {
  bindSessionsParams,
  type BindSessionsAnswer,
  type SessionDirectory,
} from './sessionDirectory';
import { shareColdParams, type ColdTable, type ShareColdAnswer } from './coldTable';
import { shareLimitsParams, type LimitTable, type ShareLimitsAnswer } from './limitTable';
import { shareSpeedsParams, type ShareSpeedsAnswer, type SpeedTable } from './speedTable';
import {
  shareSuspectsParams,
  type ShareSuspectsAnswer,
  type SuspectDirectory,
} from './suspectDirectory';

const topicSchemas = {
  loads: exchangeLoadParams.omit({ gateway: true }),
  sessions: bindSessionsParams.omit({ gateway: true }),
  suspects: shareSuspectsParams,
  limits: shareLimitsParams,
  cold: shareColdParams,
  speeds: shareSpeedsParams,
} as const;

/**
 * Schema of the parameters of `gateway.exchange`: a gateway's reports, by topic. Each report is
 * checked on its own, so that a fault in one topic does not affect the others. A topic without a
 * report gets no answer.
 */
export const exchangeParams = z.looseObject({ gateway: z.string() });

/** Parameters of `gateway.exchange` as they arrive: the reports are not checked yet. */
export type ReceivedExchangeParams = Readonly<z.infer<typeof exchangeParams>>;

/** Parameters of `gateway.exchange`. */
export type ExchangeParams = {
  readonly [N in keyof typeof topicSchemas]?: Readonly<z.infer<(typeof topicSchemas)[N]>>;
} & { readonly gateway: string };

/** Result of `gateway.exchange`: what the other gateways have reported, by topic. */
export interface ExchangeAnswer {
  readonly loads?: ExchangeLoadAnswer;
  readonly sessions?: BindSessionsAnswer;
  readonly suspects?: ShareSuspectsAnswer;
  readonly limits?: ShareLimitsAnswer;
  readonly cold?: ShareColdAnswer;
  readonly speeds?: ShareSpeedsAnswer;
  /** Why the reports of other topics were refused; such a report must not be sent again. */
  readonly refused?: Readonly<Partial<Record<keyof typeof topicSchemas, string>>>;
}

/** Name of a topic of the exchange. */
export type ExchangeTopicName = keyof typeof topicSchemas;

/** The tables of a control host that collect the reports of all gateways. They are soft state. */
export interface ExchangeTables {
  readonly loads: LoadAggregator;
  readonly sessions: SessionDirectory;
  readonly suspects: SuspectDirectory;
  readonly limits: LimitTable;
  readonly cold: ColdTable;
  readonly speeds: SpeedTable;
}

type TopicHandler<N extends ExchangeTopicName> = (
  report: NonNullable<ExchangeParams[N]>,
  gateway: string,
  now: number,
) => NonNullable<ExchangeAnswer[N]>;

type TopicHandlers = { readonly [N in ExchangeTopicName]: TopicHandler<N> };

type TopicResult = { readonly answer: unknown } | { readonly refused: string };

/** Answers the reports of gateways; `now` is monotonic time in milliseconds. */
export type ExchangeHandler = (params: ReceivedExchangeParams, now: number) => ExchangeAnswer;

const formatIssue = ({ issues }: z.ZodError): string => {
  const [issue] = issues;
  return `${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'no match'}`;
};

/** Creates the handler of `gateway.exchange`. */
export const createExchangeHandler = (tables: ExchangeTables, log: Logger): ExchangeHandler => {
  const { loads, sessions, suspects, limits, cold, speeds } = tables;
  const handlers: TopicHandlers = {
    loads: (report, gateway, now) => loads.exchange({ gateway, ...report }, now),
    sessions: (report, gateway, now) => sessions.bind({ gateway, ...report }, now),
    suspects: (report, _gateway, now) => suspects.share(report, now),
    limits: (report, _gateway, now) => limits.share(report, now),
    cold: (report, _gateway, now) => cold.share(report, now),
    speeds: (report, _gateway, now) => speeds.share(report, now),
  };
  const names = Object.keys(handlers) as readonly ExchangeTopicName[];

  const handleTopic = (
    name: ExchangeTopicName,
    { gateway, [name]: received }: ReceivedExchangeParams,
    now: number,
  ): TopicResult => {
    const report = (topicSchemas[name] as ZodType).safeParse(received);
    if (!report.success) return { refused: formatIssue(report.error) };
    const handle = handlers[name] as TopicHandler<ExchangeTopicName>;
    try {
      return { answer: handle(report.data as never, gateway, now) };
    } catch (cause) {
      return { refused: convertToRouterError(cause, 'gateway.exchange', gateway).message };
    }
  };

  return (params, now) => {
    const results = names
      .filter((name) => params[name] !== undefined)
      .map((name) => [name, handleTopic(name, params, now)] as const);
    const refused = results.flatMap(([name, result]) =>
      'refused' in result ? [[name, result.refused] as const] : [],
    );
    refused.forEach(([topic, reason]) =>
      log.warn({ gateway: params.gateway, topic, reason }, 'report of a gateway refused'),
    );
    const answers = results.flatMap(([name, result]) =>
      'answer' in result ? [[name, result.answer] as const] : [],
    );
    const answer = Object.fromEntries(answers) as ExchangeAnswer;
    return refused.length === 0 ? answer : { ...answer, refused: Object.fromEntries(refused) };
  };
};
