import { readFileSync } from 'node:fs';
import { Right, type Either } from 'purify-ts';
import { z } from 'zod';
import { createError } from '../../errors';
import {
  checkInventory,
  inventorySchema,
  mergeCsv,
  type Inventory,
  type CsvFault,
} from '../../inventory';
import { formatFault, readJsonc } from '../../settings';
import type { AcceptedChange, AdminInventory } from '../../shared';
import type { AdminClient } from '../../rpc';
import { CHANGE_OPTIONS, changeFlags, printAccepted } from '../change';
import type { CliIo } from '../cliIo';
import { createCommand, runWithClient, textFlag } from '../command';
import { EXIT_CODES } from '../exitCodes';

const flagsSchema = changeFlags.extend({
  base: z.coerce.number().int().min(0).optional(),
  import: textFlag.optional(),
});

type Flags = z.infer<typeof flagsSchema>;

const EMPTY_INVENTORY: Inventory = inventorySchema.parse({
  zones: [],
  models: [],
  organisations: [],
});

const formatCsvFault = (file: string, fault: CsvFault): string =>
  `${file}:${fault.line}: ${fault.column || '(row)'}: ${fault.message}`;

const readCsv = (file: string): string => {
  try {
    return readFileSync(file, 'utf8');
  } catch (cause) {
    const message = cause instanceof Error ? cause.message : String(cause);
    throw createError({ type: 'invalid_request', message, step: 'apply.import' });
  }
};

const readChange = (
  file: string | undefined,
  flags: Flags,
  running: AdminInventory,
): Either<readonly string[], Inventory> => {
  // Without a file, the CSV register is merged into the running inventory.
  const baseInventory =
    file === undefined
      ? Right(running.inventory ?? EMPTY_INVENTORY)
      : readJsonc(file, inventorySchema, checkInventory).mapLeft((faults) =>
          faults.map(formatFault),
        );
  const csvFile = flags.import;
  if (csvFile === undefined) return baseInventory;
  return baseInventory.chain((inventory) =>
    mergeCsv(inventory, readCsv(csvFile)).mapLeft((faults) =>
      faults.map((fault) => formatCsvFault(csvFile, fault)),
    ),
  );
};

const applyChange = async (
  client: AdminClient,
  file: string | undefined,
  flags: Flags,
  io: CliIo,
): Promise<number> => {
  const running = (await client.call<AdminInventory>('GET', '/admin/inventory')).unsafeCoerce();
  const change = readChange(file, flags, running);
  if (change.isLeft()) {
    change.extract().forEach((line) => io.writeError(`${line}\n`));
    return EXIT_CODES.invalid;
  }
  const base = flags.base ?? running.revision;
  const body = { base, changeId: flags.changeId, inventory: change.extract() };
  const answer = await client.call<AcceptedChange>('PUT', '/admin/inventory', body);
  const accepted = answer.unsafeCoerce();
  const text = `accepted as revision ${accepted.inventoryRevision}`;
  return printAccepted(client, accepted, text, flags, io);
};

/** `apply`: changes the inventory and its rules. */
export const applyCommand = createCommand({
  usage: 'apply [file]',
  text: 'Change the inventory and its rules',
  options: [
    {
      name: '--base <revision>',
      text: 'Inventory revision that the file is based on; the running one by default',
    },
    {
      name: '--import <csv>',
      text: 'CSV register to merge into the file, or into the running inventory without a file',
    },
    ...CHANGE_OPTIONS,
  ],
  example: 'apply inventory.jsonc --wait --control 10.0.0.1:7000 --secret-file operator-secret',
  args: z.tuple([textFlag.optional()]),
  flags: flagsSchema,
  run: async ([file], flags, io) => {
    if (file === undefined && flags.import === undefined) {
      throw createError({
        type: 'invalid_request',
        message: 'no inventory given; name an inventory file or a CSV register with --import',
        step: 'cli.parse',
      });
    }
    return runWithClient(flags, io, (client) => applyChange(client, file, flags, io));
  },
});
