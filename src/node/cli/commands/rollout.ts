import { z } from 'zod';
import { createError } from '../../errors';
import { formatSuggestion } from '../../inventory';
import {
  rolloutActionSchema,
  type AcceptedChange,
  type AdminStatus,
  type RolloutAction,
} from '../../shared';
import type { AdminClient } from '../../rpc';
import { CHANGE_OPTIONS, changeFlags, printAccepted, type ChangeFlags } from '../change';
import { printJson, type CliIo } from '../cliIo';
import { createCommand, runWithClient, textFlag } from '../command';
import { EXIT_CODES } from '../exitCodes';
import { formatTable } from '../table';

const flagsSchema = changeFlags.extend({ reason: textFlag.default('') });

const ACTIONS = [...rolloutActionSchema.options, 'status'] as const;

interface RolloutArgs {
  readonly action: RolloutAction;
  readonly model: string;
  readonly version: string | undefined;
}

const createUsageError = (message: string) =>
  createError({ type: 'invalid_request', message, step: 'cli.parse' });

const printRollouts = async (
  client: AdminClient,
  model: string | undefined,
  isJson: boolean,
  io: CliIo,
): Promise<number> => {
  const status = (await client.call<AdminStatus>('GET', '/admin/status')).unsafeCoerce();
  const rows = status.rollouts.filter((item) => model === undefined || item.model === model);
  if (isJson) printJson(io, { rollouts: rows });
  else if (rows.length === 0) io.writeOut('no roll-outs\n');
  else {
    io.writeOut(
      formatTable(
        [
          { title: 'MODEL', read: (row) => row.model },
          { title: 'FROM', read: (row) => row.from },
          { title: 'TO', read: (row) => row.to },
          { title: 'STEP', read: (row) => row.step, isNumber: true },
          { title: 'STATE', read: (row) => row.state },
          { title: 'REASON', read: (row) => row.reason },
        ],
        rows,
      ),
    );
  }
  return EXIT_CODES.ok;
};

const parseArgs = (
  action: string,
  model: string | undefined,
  version: string | undefined,
): RolloutArgs => {
  const known = rolloutActionSchema.safeParse(action);
  if (!known.success) {
    const hint = formatSuggestion(action, ACTIONS);
    throw createUsageError(
      `unknown action '${action}'${hint}; expected one of ${ACTIONS.join(', ')}`,
    );
  }
  if (model === undefined) throw createUsageError(`rollout ${action} needs a model`);
  const needsVersion = known.data === 'start' && version === undefined;
  if (needsVersion) throw createUsageError('rollout start needs a model and a version');
  return { action: known.data, model, version };
};

const callRollout = async (
  client: AdminClient,
  args: RolloutArgs,
  flags: ChangeFlags & { readonly reason: string },
  io: CliIo,
): Promise<number> => {
  const body = { changeId: flags.changeId, reason: flags.reason, ...args };
  const accepted = (
    await client.call<AcceptedChange>('POST', '/admin/rollout', body)
  ).unsafeCoerce();
  return printAccepted(client, accepted, `rollout ${args.action} ${args.model}`, flags, io);
};

/** `rollout`: starts, pauses, resumes, aborts or shows roll-outs. */
export const rolloutCommand = createCommand({
  usage: 'rollout <action> [model] [version]',
  text: `Manage the roll-out of a version: ${ACTIONS.join(', ')}`,
  options: [{ name: '--reason <text>', text: 'Reason shown in status' }, ...CHANGE_OPTIONS],
  example: 'rollout start small v2 --control 10.0.0.1:7000 --secret-file operator-secret',
  args: z.tuple([textFlag, textFlag.optional(), textFlag.optional()]),
  flags: flagsSchema,
  run: async ([action, model, version], flags, io) => {
    if (action === 'status') {
      return runWithClient(flags, io, (client) =>
        printRollouts(client, model, flags.json === true, io),
      );
    }
    const args = parseArgs(action, model, version);
    return runWithClient(flags, io, (client) => callRollout(client, args, flags, io));
  },
});
