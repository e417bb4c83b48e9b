import { cac, type CAC } from 'cac';
import { startDev } from '../dev';
import { createRootLogger } from '../log';
import { EXIT_CODES } from './exitCodes';
import { registerSignals, runRole, type Role } from './runRole';

const VERSION = process.env.OLEANDERFRONT_VERSION ?? '0.0.0';
const COMMIT = process.env.OLEANDERFRONT_COMMIT ?? 'unknown';
const DEV_PORT = 8_080;

const formatExample = (address: string): string =>
  [
    `curl -s http://${address}/v1/chat/completions`,
    `-H 'authorization: Bearer dev-key' -H 'content-type: application/json'`,
    `-d '{"model":"auto","messages":[{"role":"user","content":"How deep must the gravel be?"}]}'`,
  ].join(' ');

interface DevFlags {
  readonly port: number;
  readonly data?: string;
  readonly logLevel: string;
}

const runDev = async (flags: DevFlags): Promise<number> => {
  const log = createRootLogger({ level: flags.logLevel, node: 'dev' });
  const dev = await startDev({ port: flags.port, data: flags.data, log });
  registerSignals(dev.stop);
  process.stdout.write(`oleanderfront dev is ready on http://${dev.address}\n`);
  process.stdout.write(`${formatExample(dev.address)}\n`);
  return EXIT_CODES.ok;
};

const registerRole = (cli: CAC, role: Role, text: string): void => {
  cli
    .command(role, text)
    .option('--settings <file>', 'Settings in JSON with comments')
    .example(`oleanderfront ${role} --settings ${role}.jsonc`)
    .action((flags: { readonly settings?: string }) => {
      if (flags.settings !== undefined) return runRole(role, flags.settings);
      process.stderr.write(`${role}: --settings FILE is missing\n`);
      return EXIT_CODES.usage;
    });
};

const registerDev = (cli: CAC): void => {
  cli
    .command('dev', 'Run everything in one process with stand-ins')
    .option('--port <port>', 'Port for callers', { default: DEV_PORT })
    .option('--data <dir>', 'Folder for the state; else a temporary one')
    .option('--log-level <level>', 'Level of the log', { default: 'warn' })
    .example('oleanderfront dev --port 8080')
    .action(runDev);
};

/** Runs the command line and gives the exit code of what has ended. */
export const runCli = async (argv: readonly string[]): Promise<number> => {
  const cli = cac('oleanderfront');
  registerRole(cli, 'entry', 'Run an entry');
  registerRole(cli, 'agent', 'Run an agent');
  registerRole(cli, 'control', 'Run a control host');
  registerDev(cli);
  cli.help();
  cli.version(`${VERSION} (${COMMIT})`);
  cli.parse([...argv], { run: false });
  if (cli.options.help === true || cli.options.version === true) return EXIT_CODES.ok;
  if (!cli.matchedCommand) {
    process.stderr.write(`unknown command '${cli.args[0] ?? ''}'; see --help\n`);
    return EXIT_CODES.usage;
  }
  return (await cli.runMatchedCommand()) as number;
};
