import { startGateway, type RouteFields, type SocketAnswer } from './harness';
import { ECHO } from './socketAnswers';

/** Bytes of a body that seldom fit into the buffers of a caller that does not read. */
export const LARGE_BODY_BYTES = 4 * 1024 * 1024;

const HEAD = `HTTP/1.1 200 OK\r\n${ECHO}\r\n`;
const EVENTS = 'id: 1\ndata: x\n\nid: 2\ndata: x\n\n';

/** Answers without a length or chunks of an endpoint that goes on. */
const answers: Readonly<Record<string, SocketAnswer>> = {
  'part of a stream': (socket) => {
    socket.write(`${HEAD}Content-Type: text/event-stream\r\n\r\n${EVENTS}`);
  },
  'a whole body': (socket) => {
    socket.end(`${HEAD}\r\n${'x'.repeat(LARGE_BODY_BYTES)}`);
  },
};

/** How the process of a gateway ends. */
const ends: Readonly<Record<string, () => void>> = {
  'is killed': () => process.kill(process.pid, 'SIGKILL'),
  'exits at the end of a planned stop': () => process.exit(0),
  'aborts as without memory': () => process.abort(),
};

/** Options of the process of a gateway. */
export interface GatewayProcessOptions {
  readonly route: RouteFields;
  readonly answer: string;
}

/** Environment variable with the options, as JSON. */
export const OPTIONS_VARIABLE = 'GATEWAY_PROCESS_OPTIONS';

// Sends its address, and ends in the way that the parent process asks for.
const run = async ({ route, answer }: GatewayProcessOptions): Promise<void> => {
  const gateway = await startGateway(route, [answers[answer]!]);
  process.on('message', (end: string) => ends[end]!());
  process.send!(gateway.address);
};

const options = process.env[OPTIONS_VARIABLE];
if (options !== undefined) await run(JSON.parse(options) as GatewayProcessOptions);
