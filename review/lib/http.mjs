// Calls and stand-ins that speak HTTP as the pages of the platform say.
import { createServer, request as openRequest } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

/** Sends one request on a new connection; never fails. The status is 0 without a whole answer. */
export const send = ({ host, port, method = 'GET', path, headers = {}, body, timeoutMs = 1000 }) =>
  new Promise((resolve) => {
    const sent = openRequest({ host, port, method, path, headers, agent: false }, (message) => {
      const chunks = [];
      message.on('data', (chunk) => chunks.push(chunk));
      message.on('error', (cause) => resolve({ status: 0, reason: cause.message, text: '' }));
      message.on('end', () =>
        resolve({
          status: message.complete ? message.statusCode : 0,
          headers: message.headers,
          text: Buffer.concat(chunks).toString('utf8'),
        }),
      );
    });
    sent.setTimeout(timeoutMs, () => sent.destroy(new Error('no answer in time')));
    sent.on('error', (cause) => resolve({ status: 0, reason: cause.message, text: '' }));
    sent.end(body);
  });

const JSON_TYPE = { 'content-type': 'application/json' };

/** Calls control hosts in turn until one gives a clear answer, as the operator does. */
export const callControl = async (system, { method, path, body, timeoutMs = 2000, tries = 40 }) => {
  let last;
  for (let attempt = 0; attempt < tries; attempt += 1) {
    const host = system.coreHosts[attempt % system.coreHosts.length];
    last = await send({
      host,
      port: system.controlPort,
      method,
      path,
      body,
      headers: body === undefined ? {} : JSON_TYPE,
      timeoutMs,
    });
    if (last.status >= 200 && last.status < 500 && last.status !== 408 && last.status !== 429)
      return { ...last, host };
    await sleep(Math.min(50 * 2 ** attempt, 400));
  }
  return last;
};

/** Waits until a condition holds; returns whether it did. */
export const waitUntil = async (test, timeoutMs) => {
  const end = performance.now() + timeoutMs;
  while (performance.now() < end) {
    if (await test()) return true;
    await sleep(50);
  }
  return false;
};

/**
 * Starts a runner of a plain service. It answers requests after `workMs`, turns away those for
 * another instance, and reports to the control host that `chooseHost` names. `answer` replaces the
 * answer, and `report` adds fields to the reports.
 */
export const startRunner = async (system, options) => {
  const { id, host, service, zone, workMs = 20, chooseHost } = options;
  const born = Date.now();
  const runs = [];
  let sequence = 0;
  let isReporting = true;
  let timer;
  const server = createServer((request, response) => {
    request.resume();
    const requestId = request.headers['x-request-id'] ?? '';
    const expected = request.headers['x-expected-instance'];
    response.setHeader('X-Instance-Id', id);
    response.setHeader('X-Request-Id', requestId);
    if (expected !== undefined && expected !== id) {
      response.statusCode = 421;
      response.end();
      return;
    }
    if (request.url === '/health') {
      response.end('ok');
      return;
    }
    runs.push({ id: requestId, at: performance.now() });
    if (options.answer) {
      options.answer(request, response);
      return;
    }
    system.record(`runner ${id} runs ${requestId}`);
    setTimeout(() => {
      response.setHeader('X-Response-Signature', `sig-${requestId}`);
      response.end(`answer to ${requestId}`);
    }, workMs);
  });
  await new Promise((done) => {
    server.listen(0, host, done);
  });
  const address = `${host}:${server.address().port}`;

  const sendJson = (path, content, to) =>
    send({
      host: to,
      port: system.controlPort,
      method: 'POST',
      path,
      headers: JSON_TYPE,
      body: JSON.stringify(content),
    });

  const sendReport = async () => {
    sequence += 1;
    const content = {
      service,
      address,
      zone,
      version: 'v1',
      slots: 6,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence_number: sequence,
      born,
      ...options.report,
    };
    const to = chooseHost();
    const answer = await sendJson(`/instances/${id}/heartbeat`, content, to);
    system.record(`runner ${id} reports to ${to}: ${answer.status}`);
  };

  const schedule = () => {
    timer = setTimeout(async () => {
      if (!isReporting) return;
      await sendReport();
      if (isReporting) schedule();
    }, options.intervalMs);
  };

  await sendReport();
  schedule();
  return {
    id,
    address,
    runs,
    /** Stops the reports and says to one control host that this runner leaves. */
    leave: async (to) => {
      isReporting = false;
      clearTimeout(timer);
      const answer = await sendJson(`/instances/${id}/leave`, { born }, to);
      system.record(`runner ${id} leaves at ${to}: ${answer.status}`);
      return answer;
    },
    close: () => {
      isReporting = false;
      clearTimeout(timer);
      server.close();
      server.closeAllConnections();
    },
  };
};
