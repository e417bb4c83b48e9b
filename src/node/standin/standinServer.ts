import { request } from 'undici';
import type { ServedVersion } from '../inventory';

/** The announcement that a stand-in sends to the agent on its host. */
export interface StandinAnnouncement {
  readonly endpoint: string;
  readonly address: string;
  readonly serves?: readonly ServedVersion[];
  readonly service?: string;
  readonly role?: string;
  readonly adapters?: readonly string[];
  readonly slots: number;
  readonly checksFencing: boolean;
}

const ANNOUNCE_INTERVAL_MS = 1_000;
const RETRY_INTERVAL_MS = 200;

/** Announces an endpoint to its agent periodically. Returns a function that stops this. */
export const startAnnouncing = (
  agentAddress: string,
  readAnnouncement: () => StandinAnnouncement,
): (() => void) => {
  let timer: NodeJS.Timeout | undefined;
  let isStopped = false;

  const announce = async (): Promise<boolean> => {
    try {
      const response = await request(`http://${agentAddress}/announce`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(readAnnouncement()),
      });
      await response.body.dump();
      return response.statusCode === 200;
    } catch {
      return false;
    }
  };

  const schedule = (delayMs: number): void => {
    if (isStopped) return;
    timer = setTimeout(() => {
      announce().then((isAccepted) =>
        schedule(isAccepted ? ANNOUNCE_INTERVAL_MS : RETRY_INTERVAL_MS),
      );
    }, delayMs);
  };

  schedule(0);
  return () => {
    isStopped = true;
    clearTimeout(timer);
  };
};
