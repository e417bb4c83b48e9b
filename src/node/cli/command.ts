import { readFileSync } from 'node:fs';
import { z } from 'zod';
import { createError } from '../errors';
import { createAdminClient, readSecretFile, type AdminClient } from '../rpc';
import type { CliIo } from './cliIo';

/** An option of a command, as `--help` shows it. */
export interface CommandOption {
  /** Option in the syntax of the parser, e.g. `--base <revision>`. */
  readonly name: string;
  readonly text: string;
}

/** One command of the command line. */
export interface CliCommand {
  /** Name and argument placeholders, e.g. `withdraw <model> <version>`. */
  readonly usage: string;
  readonly text: string;
  readonly options: readonly CommandOption[];
  readonly example: string;
  /** Runs the command and returns its exit code; throws router errors. */
  readonly run: (args: readonly unknown[], flags: unknown, io: CliIo) => Promise<number>;
}

/** A command with the schemas of its arguments and options. */
export interface CommandDefinition<Args, Flags> extends Omit<CliCommand, 'run'> {
  readonly args: z.ZodType<Args>;
  readonly flags: z.ZodType<Flags>;
  readonly run: (args: Args, flags: Flags, io: CliIo) => Promise<number>;
}

const parseInput = <T>(schema: z.ZodType<T>, value: unknown): T => {
  const parsed = schema.safeParse(value);
  if (parsed.success) return parsed.data;
  const lines = parsed.error.issues.map((issue) =>
    [issue.path.join('.'), issue.message].filter(Boolean).join(': '),
  );
  throw createError({ type: 'invalid_request', message: lines.join('; '), step: 'cli.parse' });
};

/** Creates a command that validates its arguments and options before it runs. */
export const createCommand = <Args, Flags>(
  definition: CommandDefinition<Args, Flags>,
): CliCommand => {
  const { usage, text, options, example } = definition;
  return {
    usage,
    text,
    options,
    example,
    run: async (args, flags, io) =>
      definition.run(parseInput(definition.args, args), parseInput(definition.flags, flags), io),
  };
};

/** Schema of a text argument or option; accepts numbers, since the parser converts digits. */
export const textFlag = z.union([z.string(), z.number()]).transform(String);

/** Schema of an option that may be repeated or hold several comma-separated values. */
export const listFlag = z
  .union([textFlag, z.array(textFlag)])
  .transform((value) => [value].flat().flatMap((item) => item.split(',')));

/** The options of every operators' command. */
export const OPERATOR_OPTIONS: readonly CommandOption[] = [
  {
    name: '--control <address>',
    text: 'Control host as host:port, may be repeated; OLEANDERFRONT_CONTROL by default',
  },
  {
    name: '--secret-file <file>',
    text: "File with the operators' secret; without it, OLEANDERFRONT_OPERATOR_SECRET is the secret",
  },
  { name: '--ca <file>', text: 'PEM file of the certificate authority, if the port uses TLS' },
  { name: '--json', text: 'Print JSON' },
];

/** The schema of `OPERATOR_OPTIONS`, extended by each command. */
export const operatorFlags = z.object({
  control: listFlag.optional(),
  secretFile: textFlag.optional(),
  ca: textFlag.optional(),
  json: z.boolean().optional(),
});

/** The parsed options of every operators' command. */
export type OperatorFlags = z.infer<typeof operatorFlags>;

const createUsageError = (message: string) =>
  createError({ type: 'invalid_request', message, step: 'cli.parse' });

const resolveSecret = (flags: OperatorFlags, io: CliIo): string => {
  if (flags.secretFile !== undefined) return readSecretFile(flags.secretFile);
  const secret = io.env.OLEANDERFRONT_OPERATOR_SECRET;
  if (secret !== undefined && secret !== '') return secret;
  throw createUsageError(
    "no operators' secret given; use --secret-file or OLEANDERFRONT_OPERATOR_SECRET",
  );
};

const resolveControl = (flags: OperatorFlags, io: CliIo): readonly string[] => {
  const given = flags.control ?? io.env.OLEANDERFRONT_CONTROL?.split(',') ?? [];
  const control = given.filter((address) => address !== '');
  if (control.length > 0) return control;
  throw createUsageError('no control host given; use --control host:port or OLEANDERFRONT_CONTROL');
};

/** Runs a task with a client for the control hosts in the options, then closes the client. */
export const runWithClient = async <T>(
  flags: OperatorFlags,
  io: CliIo,
  task: (client: AdminClient) => Promise<T>,
): Promise<T> => {
  const client = createAdminClient({
    control: resolveControl(flags, io),
    secret: resolveSecret(flags, io),
    certificateAuthority: flags.ca === undefined ? undefined : readFileSync(flags.ca, 'utf8'),
  });
  try {
    return await task(client);
  } finally {
    await client.close();
  }
};
