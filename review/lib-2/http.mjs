// Small HTTP helpers of the stand-ins for clients, the operator and runners.
import { request } from 'node:http';

const TIMEOUT_MS = 2_000;

/** Sends a request with a JSON body; the status is 0 if there was no answer. */
export const fetchJson = ({ host, port, method, path, body, timeoutMs = TIMEOUT_MS }) =>
  new Promise((done) => {
    const text = body === undefined ? '' : JSON.stringify(body);
    const headers = { 'content-type': 'application/json', 'content-length': text.length };
    const sent = request({ host, port, method, path, headers, agent: false }, (answer) => {
      const chunks = [];
      answer.on('data', (chunk) => chunks.push(chunk));
      answer.on('error', () => done({ status: 0, text: '' }));
      answer.on('end', () =>
        done({ status: answer.statusCode, text: Buffer.concat(chunks).toString('utf8') }),
      );
    });
    sent.setTimeout(timeoutMs, () => sent.destroy(new Error('timeout')));
    sent.on('error', () => done({ status: 0, text: '' }));
    sent.end(text);
  });
