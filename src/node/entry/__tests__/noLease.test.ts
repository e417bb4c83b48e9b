import test from 'ava';
import { createHttpServer } from '../../rpc';
import { createViewStore } from '../../view';
import { registerCallerApi } from '../callerApi';
import type { CallerApiContext } from '../replies';

// A restarted entry has no view yet, so it cannot tell whether an API key is valid.
const CONTEXT = {
  lease: { view: createViewStore(), isValid: () => false },
  isStopping: () => false,
  answerTimeoutMs: 1_000,
} as unknown as CallerApiContext;

const CASES = [
  { method: 'POST', url: '/v1/chat/completions' },
  { method: 'GET', url: '/v1/models' },
  { method: 'GET', url: '/v1/requests/req_1' },
  { method: 'POST', url: '/v1/services/bookings/x' },
] as const;

for (const { method, url } of CASES) {
  test(`an entry without a lease answers ${method} ${url} with 503 and outcome not_run`, async (t) => {
    const app = createHttpServer();
    registerCallerApi(app, CONTEXT);
    const headers = { authorization: 'Bearer key' };
    const payload = method === 'POST' ? { model: 'auto', messages: [{ role: 'user' }] } : undefined;
    const response = await app.inject({ method, url, headers, payload });
    t.is(response.statusCode, 503);
    t.is(response.json().error.outcome, 'not_run');
    await app.close();
  });
}
