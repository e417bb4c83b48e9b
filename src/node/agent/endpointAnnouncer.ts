import type { LeaseClient } from '../lease';
import type { Logger } from '../log';
import type { RpcClient } from '../rpc';
import type { AnnouncementStore, EngineAnnouncement } from './announcements';

/** Options of an endpoint announcer. */
export interface EndpointAnnouncerOptions {
  readonly node: string;
  readonly host: string;
  readonly lease: LeaseClient;
  readonly announcements: AnnouncementStore;
  readonly rpc: RpcClient;
  readonly log: Logger;
}

/** Reports to control what the endpoints on this agent's host serve, whenever it changes. */
export interface EndpointAnnouncer {
  readonly start: () => void;
  /** Reports every endpoint as leaving. Gives up after a bounded number of tries. */
  readonly stop: () => Promise<void>;
}

type EndpointState = 'live' | 'leaving';

const CHECK_INTERVAL_MS = 200;
const MAX_LEAVE_TRIES = 3;

/** Creates the announcer of one agent. */
export const createEndpointAnnouncer = (options: EndpointAnnouncerOptions): EndpointAnnouncer => {
  const { node, host, lease, announcements, rpc, log } = options;
  const known = new Map<string, EngineAnnouncement>();
  const sent = new Map<string, string>();
  let timer: NodeJS.Timeout | undefined;
  let isStopped = false;

  const sendState = async (
    announced: EngineAnnouncement,
    state: EndpointState,
  ): Promise<boolean> => {
    const { endpoint, serves, service, slots, checksFencing } = announced;
    const announcement = { endpoint, serves, service, slots, checksFencing, host, state };
    const params = { node, incarnation: lease.incarnation(), announcement };
    const text = JSON.stringify(params);
    if (sent.get(endpoint) === text) return true;
    const answer = await rpc.call(lease.controlAddress(), 'control.announce', params);
    answer.ifRight(() => {
      sent.set(endpoint, text);
      log.info({ endpoint, state, serves }, 'announced the endpoint to control');
    });
    answer.ifLeft((error) => {
      const { step, peer, message } = error;
      log.warn(
        { endpoint, state, step, peer, reason: message },
        'could not announce the endpoint; trying the next control host',
      );
      lease.chooseNextControl();
    });
    return answer.isRight();
  };

  const advance = async (): Promise<void> => {
    if (!lease.isValid()) return;
    announcements.list().forEach((item) => known.set(item.endpoint, item));
    for (const announced of known.values()) {
      const isLive = announcements.find(announced.endpoint) !== undefined;
      await sendState(announced, isLive ? 'live' : 'leaving');
    }
  };

  const schedule = (): void => {
    if (isStopped) return;
    timer = setTimeout(() => {
      advance().finally(schedule);
    }, CHECK_INTERVAL_MS);
  };

  const sendLeaving = async (announced: EngineAnnouncement): Promise<void> => {
    for (let attempt = 0; attempt < MAX_LEAVE_TRIES; attempt += 1) {
      if (await sendState(announced, 'leaving')) return;
    }
  };

  return {
    start: schedule,
    stop: async () => {
      isStopped = true;
      clearTimeout(timer);
      await Promise.all([...known.values()].map(sendLeaving));
    },
  };
};
