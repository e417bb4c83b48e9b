import { setTimeout as sleep } from 'node:timers/promises';
import { convertToRouterError } from '../errors';
import type { Logger } from '../log';
import type { ConfigId } from '../routingControl';
import type { ConfigFetch, HeldConfig } from './configFetch';
import type { ClockReading } from './leaseClock';

/** A configuration that a confirmed answer names as the one in force. */
export interface NamedConfig {
  /** Null if no configuration is in force. */
  readonly id: ConfigId | null;
  /** Revision of the routing state. */
  readonly revision: number;
  /** When the call was sent that the answer belongs to. */
  readonly askedAt: ClockReading;
  /** Control hosts that may hold the configuration, in the order in which they are asked. */
  readonly hosts: readonly string[];
}

/** Holds the configuration in force, and fetches it when it changes. */
export interface ConfigFollower {
  readonly recordNamed: (named: NamedConfig) => void;
  /** Holds a configuration that came with an answer. */
  readonly install: (config: HeldConfig) => void;
  readonly stop: () => void;
}

/** Options of a configuration follower. */
export interface ConfigFollowerOptions {
  readonly configFetch: ConfigFetch;
  readonly log: Logger;
  /**
   * Called when the held configuration is known to be in force. While another one
   * is being fetched, answers that name that one do not confirm the held one.
   */
  readonly handleConfirmed: (held: HeldConfig | undefined, named: NamedConfig) => void;
}

const RETRY_PAUSE_MS = 50;

const isSameId = (a: ConfigId | null | undefined, b: ConfigId | null): boolean =>
  a?.digest === b?.digest;

/**
 * Creates a follower without a configuration. A fetch that has begun goes on if a later
 * configuration is named meanwhile, so that frequent changes don't keep a gateway from all of them.
 */
export const createConfigFollower = (options: ConfigFollowerOptions): ConfigFollower => {
  const { configFetch, log, handleConfirmed } = options;
  let held: HeldConfig | undefined;
  let named: NamedConfig | undefined;
  /** What is being fetched, with the time of the latest answer that names it. */
  let target: NamedConfig | undefined;
  let isFetching = false;
  let isStopped = false;

  const fetchNamed = async (): Promise<void> => {
    while (!isStopped && named?.id && !isSameId(held?.id, named.id)) {
      target = named;
      const fetched = await configFetch.fetch(named.hosts, named.id, held);
      if (isStopped) return;
      if (fetched.isRight()) {
        held = fetched.unsafeCoerce();
        handleConfirmed(held, target);
      } else {
        await sleep(RETRY_PAUSE_MS);
      }
    }
  };

  const startFetch = (): void => {
    isFetching = true;
    fetchNamed()
      .catch((cause: unknown) => {
        const error = convertToRouterError(cause, 'gateway.config');
        log.error({ err: error }, 'fetch of the configuration failed unexpectedly');
      })
      .finally(() => {
        isFetching = false;
      });
  };

  return {
    recordNamed: (next) => {
      named = next;
      if (isSameId(target?.id, next.id)) target = next;
      if (next.id === null) held = undefined;
      if (isSameId(held?.id, next.id)) handleConfirmed(held, next);
      else if (!isFetching) startFetch();
    },
    install: (config) => {
      held = config;
    },
    stop: () => {
      isStopped = true;
    },
  };
};
