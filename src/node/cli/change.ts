import { randomUUID } from 'node:crypto';
import { z } from 'zod';
import type { AcceptedChange } from '../shared';
import type { AdminClient } from '../rpc';
import { printJson, type CliIo } from './cliIo';
import { OPERATOR_OPTIONS, operatorFlags, textFlag, type CommandOption } from './command';
import { EXIT_CODES } from './exitCodes';
import { formatInForce, waitInForce } from './waitInForce';

const DEFAULT_WAIT_LIMIT_SECONDS = 30;
const MS_PER_SECOND = 1_000;

/** Options of the commands that change something. */
export const CHANGE_OPTIONS: readonly CommandOption[] = [
  {
    name: '--change-id <id>',
    text: 'Id of this change; sending the same id again returns the first answer',
  },
  { name: '--wait', text: 'Wait until the change is in force everywhere' },
  {
    name: '--limit <seconds>',
    text: `Maximum wait in seconds, ${DEFAULT_WAIT_LIMIT_SECONDS} by default`,
  },
  ...OPERATOR_OPTIONS,
];

/** The schema of `CHANGE_OPTIONS`. */
export const changeFlags = operatorFlags.extend({
  changeId: textFlag.default(() => randomUUID()),
  wait: z.boolean().optional(),
  limit: z.coerce.number().positive().default(DEFAULT_WAIT_LIMIT_SECONDS),
});

/** Parsed options of the commands that change something. */
export type ChangeFlags = z.infer<typeof changeFlags>;

/** Prints an accepted change. With `--wait`, waits until it is in force everywhere. */
export const printAccepted = async (
  client: AdminClient,
  accepted: AcceptedChange,
  text: string,
  flags: ChangeFlags,
  io: CliIo,
): Promise<number> => {
  const { changeId } = flags;
  const isJson = flags.json === true;
  if (!isJson) io.writeOut(`${text}, change ${changeId}\n`);
  const inForce = flags.wait
    ? await waitInForce(client, accepted.revision, flags.limit * MS_PER_SECOND)
    : undefined;
  if (isJson) printJson(io, { ...accepted, changeId, inForce });
  else if (inForce) io.writeOut(formatInForce(inForce));
  return EXIT_CODES.ok;
};
