import { z } from 'zod';
import { createError } from '../../errors';
import type { Role } from '../../settings';
import { createCommand, textFlag, type CliCommand } from '../command';
import { runRole } from '../runRole';

const flagsSchema = z.object({ settings: textFlag.optional() });

const createRoleCommand = (role: Role, text: string): CliCommand =>
  createCommand({
    usage: role,
    text,
    options: [{ name: '--settings <file>', text: 'Settings file in JSON with comments' }],
    example: `${role} --settings ${role}.jsonc`,
    args: z.tuple([]),
    flags: flagsSchema,
    run: async (_args, flags, io) => {
      if (flags.settings !== undefined) return runRole(role, flags.settings, io);
      const message = '--settings FILE is missing';
      throw createError({ type: 'invalid_request', message, step: 'cli.parse' });
    },
  });

/** `entry`: runs an entry until a signal stops it. */
export const entryCommand = createRoleCommand(
  'entry',
  'Run an entry, which accepts requests from callers',
);

/** `agent`: runs an agent until a signal stops it. */
export const agentCommand = createRoleCommand('agent', 'Run an agent beside an endpoint');

/** `control`: runs a control host until a signal stops it. */
export const controlCommand = createRoleCommand('control', 'Run a control host');
