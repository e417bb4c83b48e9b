import { cac, type CAC } from 'cac';
import { convertToRouterError } from '../errors';
import { formatSuggestion } from '../inventory';
import { createProcessIo, type CliIo } from './cliIo';
import type { CliCommand } from './command';
import { COMMANDS } from './commands';
import { EXIT_CODES, EXIT_CODE_TEXTS, findExitCode } from './exitCodes';

const NAME = 'oleanderfront';
const VERSION = process.env.OLEANDERFRONT_VERSION ?? '0.0.0';
const COMMIT = process.env.OLEANDERFRONT_COMMIT ?? 'unknown';
const USAGE_STEP = 'cli.parse';
const PARSER_OPTION_KEYS: ReadonlySet<string> = new Set(['--', 'h', 'v']);

const registerCommand = (cli: CAC, command: CliCommand): void => {
  const registered = cli.command(command.usage, command.text, { allowUnknownOptions: true });
  command.options.forEach(({ name, text }) => registered.option(name, text));
  registered.example(`  $ ${NAME} ${command.example}`);
};

const formatExitCodes = (): string =>
  Object.entries(EXIT_CODES)
    .map(([name, code]) => `  ${code}  ${EXIT_CODE_TEXTS[name as keyof typeof EXIT_CODES]}`)
    .join('\n');

const createCli = (): CAC => {
  const cli = cac(NAME);
  Object.values(COMMANDS).forEach((command) => registerCommand(cli, command));
  cli.help((sections) => [...sections, { title: 'Exit codes', body: formatExitCodes() }]);
  cli.version(`${VERSION} (${COMMIT})`);
  return cli;
};

// The parser converts `--change-id <id>` to `changeId`.
const convertToFlagName = (option: string): string =>
  option.replace(/-([a-z])/g, (_match, letter: string) => letter.toUpperCase());

const listOptionNames = (command: CliCommand): readonly string[] => [
  ...command.options.map(({ name }) => /^--([a-z-]+)/.exec(name)?.[1] ?? ''),
  'help',
];

const printUsageError = (io: CliIo, message: string): number => {
  io.writeError(`${NAME}: ${message}; see ${NAME} --help\n`);
  return EXIT_CODES.usage;
};

const findUnknownOption = (
  command: CliCommand,
  flags: Readonly<Record<string, unknown>>,
): string | undefined => {
  const names = listOptionNames(command);
  const known = new Set(names.map(convertToFlagName));
  const unknown = Object.keys(flags).find((flag) => !known.has(flag));
  if (unknown === undefined) return undefined;
  const option = unknown.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
  return `unknown option '--${option}'${formatSuggestion(option, names)}`;
};

// Required arguments come first, so the number of given arguments shows which one is missing.
const checkArguments = (command: CliCommand, given: readonly string[]): string | undefined => {
  const [name, ...placeholders] = command.usage.split(' ');
  const required = placeholders.filter((placeholder) => placeholder.startsWith('<'));
  if (given.length < required.length) return `${name} needs ${required[given.length]}`;
  const isVariadic = placeholders.some((placeholder) => placeholder.includes('...'));
  if (!isVariadic && given.length > placeholders.length) {
    return `${name} takes no argument '${given[placeholders.length]}'`;
  }
  return undefined;
};

const createArguments = (command: CliCommand, given: readonly string[]): readonly unknown[] => {
  const [, ...placeholders] = command.usage.split(' ');
  return placeholders.map((placeholder, index) =>
    placeholder.includes('...') ? given.slice(index) : given[index],
  );
};

const runCommand = async (
  name: string,
  given: readonly string[],
  flags: Readonly<Record<string, unknown>>,
  io: CliIo,
): Promise<number> => {
  const command = COMMANDS[name];
  if (!command) {
    const hint = formatSuggestion(name, Object.keys(COMMANDS));
    return printUsageError(
      io,
      name === '' ? 'no command given' : `unknown command '${name}'${hint}`,
    );
  }
  const fault = findUnknownOption(command, flags) ?? checkArguments(command, given);
  if (fault !== undefined) return printUsageError(io, fault);
  try {
    return await command.run(createArguments(command, given), flags, io);
  } catch (cause) {
    const error = convertToRouterError(cause, `cli.${name}`);
    if (error.step === USAGE_STEP) return printUsageError(io, error.message);
    const peer = error.peer === '' ? '' : ` (${error.peer})`;
    io.writeError(`${NAME}: ${error.step}${peer}: ${error.message}\n`);
    return findExitCode(error);
  }
};

/** Runs the command line and returns its exit code. */
export const runCli = async (
  argv: readonly string[],
  io: CliIo = createProcessIo(),
): Promise<number> => {
  const cli = createCli();
  cli.parse([...argv], { run: false });
  if (cli.options.help === true || cli.options.version === true) return EXIT_CODES.ok;
  const [name = '', ...rest] = cli.matchedCommandName
    ? [cli.matchedCommandName, ...cli.args]
    : cli.args;
  const entries = Object.entries(cli.options).filter(([key]) => !PARSER_OPTION_KEYS.has(key));
  const flags = Object.fromEntries(entries);
  return runCommand(name, rest, flags, io);
};
