// Stand-in for a runner of a plain service: reports itself and serves requests.
import { createServer } from 'node:http';
import { fetchJson } from './http.mjs';

const HEARTBEAT_MS = 1_200;

/**
 * Starts a runner. `handle` gets each request that the runner begins to work on; the runner has
 * checked that it is meant for this runner.
 */
export const startRunner = async (options) => {
  const { id, host, port, service, controls, controlPort, record, handle, slots = 6 } = options;
  const born = Date.now();
  const state = { sequence: 0, phase: 'ready', timer: undefined, first: 0 };

  const server = createServer((message, response) => {
    const requestId = message.headers['x-request-id'];
    if (message.url === '/health') {
      response.writeHead(state.phase === 'ready' ? 200 : 503, { 'X-Instance-Id': id });
      response.end();
      return;
    }
    const expected = message.headers['x-expected-instance'];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { 'X-Request-Id': requestId, 'X-Not-Executed': '1' });
      response.end();
      return;
    }
    const chunks = [];
    message.on('data', (chunk) => chunks.push(chunk));
    message.on('end', () => {
      record(`${id} runs ${requestId}: ${message.method} ${message.url}`);
      handle({ message, response, requestId, body: Buffer.concat(chunks) });
    });
    message.on('error', () => {});
    response.on('error', () => {});
  });
  await new Promise((done) => {
    server.listen(port, host, done);
  });

  const sendReport = async () => {
    state.sequence += 1;
    const body = {
      service,
      address: `${host}:${port}`,
      zone: 'zone-a',
      version: 'v1',
      slots,
      state: state.phase,
      cold_remaining_ms: 0,
      sequence_number: state.sequence,
      born,
    };
    for (let tried = 0; tried < controls.length; tried += 1) {
      const target = controls[(state.first + tried) % controls.length];
      const path = `/instances/${id}/heartbeat`;
      const sent = {
        host: target,
        port: controlPort,
        method: 'POST',
        path,
        body,
        timeoutMs: 1_000,
      };
      if ((await fetchJson(sent)).status === 200) return;
      state.first += 1;
    }
  };

  state.timer = setInterval(sendReport, HEARTBEAT_MS);
  await sendReport();
  return {
    stop: () => {
      clearInterval(state.timer);
      server.closeAllConnections();
      server.close();
    },
  };
};
