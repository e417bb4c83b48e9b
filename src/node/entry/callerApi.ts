import { setTimeout as sleep } from 'node:timers/promises';
import type { FastifyInstance } from 'fastify';
import { registerChatRoutes } from './chatRoutes';
import type { CallerApiParts } from './replies';
import { registerRequestRoutes } from './requestRoutes';
import type { RequestRunner } from './requestRunner';
import { registerServiceRoutes } from './serviceRoutes';
import type { Settlement } from './settlement';

/** Registers the routes of the caller API. */
export const registerCallerApi = (app: FastifyInstance, parts: CallerApiParts): void => {
  registerChatRoutes(app, parts);
  registerRequestRoutes(app, parts);
  registerServiceRoutes(app, parts);
};

const DRAIN_POLL_MS = 20;

/** Waits until no request is in progress. */
export const waitForIdle = async (runner: RequestRunner): Promise<void> => {
  while (runner.countActive() > 0) await sleep(DRAIN_POLL_MS);
};

const SETTLE_WAIT_MS = 10_000;

/** Waits until the ledger has recorded every settlement, for at most ten seconds. */
export const waitForSettled = async (settlement: Settlement): Promise<void> => {
  for (let waited = 0; waited < SETTLE_WAIT_MS; waited += DRAIN_POLL_MS) {
    if (settlement.listWaiting().length === 0) return;
    await sleep(DRAIN_POLL_MS);
  }
};
