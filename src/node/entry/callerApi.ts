import { setTimeout as sleep } from 'node:timers/promises';
import type { FastifyInstance } from 'fastify';
import { registerChatRoutes } from './chatRoutes';
import type { CallerApiContext } from './replies';
import { registerRequestRoutes } from './requestRoutes';
import type { RequestRunner } from './requestRunner';
import { registerServiceRoutes } from './serviceRoutes';
import type { Settlement } from './settlement';

/** Registers the routes of the caller API. */
export const registerCallerApi = (app: FastifyInstance, context: CallerApiContext): void => {
  registerChatRoutes(app, context);
  registerRequestRoutes(app, context);
  registerServiceRoutes(app, context);
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
    if (settlement.listPending().length === 0) return;
    await sleep(DRAIN_POLL_MS);
  }
};
