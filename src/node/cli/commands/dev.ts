import { z } from 'zod';
import { DEV_KEYS, startDev, type Dev } from '../../dev';
import { createRootLogger } from '../../log';
import { createCommand, textFlag } from '../command';
import { EXIT_CODES } from '../exitCodes';
import { registerSignals } from '../../process';

const DEV_PORT = 8_080;
const MAX_PORT = 65_535;

const port = z.coerce.number().int().min(0).max(MAX_PORT);

const flagsSchema = z.object({
  port: port.default(DEV_PORT),
  controlPort: port.default(0),
  data: textFlag.optional(),
  logLevel: textFlag.default('warn'),
});

const formatReady = ({ address, controlAddress, secretFile }: Dev): string =>
  `oleanderfront dev is ready on http://${address} ` +
  `(control ${controlAddress}, operators' secret in ${secretFile})\n`;

const formatExample = ({ address }: Dev): string =>
  [
    `curl -s http://${address}/v1/chat/completions`,
    `-H 'authorization: Bearer ${DEV_KEYS[0]}' -H 'content-type: application/json'`,
    `-d '{"model":"auto","messages":[{"role":"user","content":"How deep must the gravel be?"}]}'\n`,
  ].join(' ');

/** `dev`: runs control, entry, agents and stand-in engines in one process. */
export const devCommand = createCommand({
  usage: 'dev',
  text: 'Run everything in one process with stand-in engines',
  options: [
    { name: '--port <port>', text: `Port for callers, ${DEV_PORT} by default; 0 picks a free one` },
    { name: '--control-port <port>', text: 'Port for operators; a free one by default' },
    { name: '--data <dir>', text: 'Folder for the state; a temporary one by default' },
    { name: '--log-level <level>', text: 'Minimum level to log; warn by default' },
  ],
  example: 'dev --port 8080 --control-port 8090 --data dev-data',
  args: z.tuple([]),
  flags: flagsSchema,
  run: async (_args, flags, io) => {
    const log = createRootLogger({ level: flags.logLevel, node: 'dev' });
    const { controlPort, data } = flags;
    const dev = await startDev({ port: flags.port, controlPort, data, log });
    registerSignals(dev.stop);
    io.writeOut(formatReady(dev));
    io.writeOut(formatExample(dev));
    return EXIT_CODES.ok;
  },
});
