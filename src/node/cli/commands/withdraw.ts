import { z } from 'zod';
import type { AcceptedChange } from '../../shared';
import { CHANGE_OPTIONS, changeFlags, printAccepted } from '../change';
import { createCommand, runWithClient, textFlag } from '../command';

const flagsSchema = changeFlags.extend({
  reason: textFlag.default('withdrawn by an operator'),
  restore: z.boolean().optional(),
});

/** `withdraw`: stops all new work of a version, or allows it again. */
export const withdrawCommand = createCommand({
  usage: 'withdraw <model> <version>',
  text: 'Stop all new work of a version, or with --restore allow it again',
  options: [
    {
      name: '--reason <text>',
      text: 'Reason shown in status and to callers whose session is refused',
    },
    { name: '--restore', text: 'Allow new work of the version again' },
    ...CHANGE_OPTIONS,
  ],
  example: 'withdraw small v2 --reason "wrong prices" --wait --control 10.0.0.1:7000',
  args: z.tuple([textFlag, textFlag]),
  flags: flagsSchema,
  run: ([model, version], flags, io) =>
    runWithClient(flags, io, async (client) => {
      const { changeId, reason } = flags;
      const [path, body, text] = flags.restore
        ? (['/admin/restore', { changeId, model, version }, 'restored'] as const)
        : (['/admin/withdraw', { changeId, model, version, reason }, 'withdrawn'] as const);
      const accepted = (await client.call<AcceptedChange>('POST', path, body)).unsafeCoerce();
      return printAccepted(client, accepted, `${model}@${version} ${text}`, flags, io);
    }),
});
