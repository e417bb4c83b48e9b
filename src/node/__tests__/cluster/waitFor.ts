import { setTimeout as sleep } from 'node:timers/promises';

const POLL_MS = 20;
const TIMEOUT_MS = 30_000;

/** Waits until a condition holds. Throws an error with its name after `timeoutMs`. */
export const waitFor = async (
  name: string,
  isMet: () => Promise<boolean> | boolean,
  timeoutMs = TIMEOUT_MS,
): Promise<void> => {
  const deadline = Date.now() + timeoutMs;
  while (!(await isMet())) {
    if (Date.now() > deadline)
      throw new Error(`timed out after ${timeoutMs} ms waiting for: ${name}`);
    await sleep(POLL_MS);
  }
};
