import { Left, type Either } from 'purify-ts';
import { convertToRouterError, type RouterError } from '../errors';

/** What a call to one host is told. */
export interface HedgeContext {
  /** Aborted when another host has answered. */
  readonly signal: AbortSignal;
  /** False for the first host. */
  readonly isHedge: boolean;
}

/** Options of a hedged call. */
export interface HedgedCallOptions<T> {
  /** Hosts in the order in which they are asked; at least one. */
  readonly hosts: readonly string[];
  /** Calls one host. */
  readonly call: (host: string, context: HedgeContext) => Promise<Either<RouterError, T>>;
  /** Silence of the first host after which the next one is asked as well, in milliseconds. */
  readonly firstDelayMs: number;
  /** Silence of every later host after which the next one is asked as well, in milliseconds. */
  readonly nextDelayMs: number;
}

/** Result of a hedged call: the host that answered, or the last error. */
export type HedgedAnswer<T> = Either<RouterError, { readonly host: string; readonly value: T }>;

/**
 * Calls the first host, and one more whenever the latest one stays silent for too long or all that
 * were asked have failed. The first successful answer ends the other calls; the call fails when
 * every host has failed.
 */
export const callWithHedges = <T>(options: HedgedCallOptions<T>): Promise<HedgedAnswer<T>> =>
  new Promise((resolve) => {
    const { hosts, call, firstDelayMs, nextDelayMs } = options;
    const controller = new AbortController();
    let asked = 0;
    let failed = 0;
    let timer: NodeJS.Timeout | undefined;

    const settle = (answer: HedgedAnswer<T>): void => {
      clearTimeout(timer);
      resolve(answer);
      controller.abort();
    };

    const callNext = (): void => {
      clearTimeout(timer);
      const host = hosts[asked];
      if (host === undefined || controller.signal.aborted) return;
      const isHedge = asked > 0;
      asked += 1;
      const handleError = (error: RouterError): void => {
        failed += 1;
        if (failed === hosts.length) settle(Left(error));
        else if (asked === failed) callNext();
      };
      call(host, { signal: controller.signal, isHedge }).then(
        (answer) => {
          answer.ifRight(() => settle(answer.map((value) => ({ host, value }))));
          answer.ifLeft(handleError);
        },
        (cause: unknown) => handleError(convertToRouterError(cause, 'gateway.hedge', host)),
      );
      timer = setTimeout(callNext, isHedge ? nextDelayMs : firstDelayMs);
    };

    callNext();
  });
