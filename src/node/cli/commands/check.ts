import { z } from 'zod';
import { compareInventories, inventorySchema, type Inventory } from '../../inventory';
import { formatFault, type Fault } from '../../settings';
import type { AdminInventory, AdminStatus } from '../../shared';
import type { AdminClient } from '../../rpc';
import { printJson, type CliIo } from '../cliIo';
import {
  createCommand,
  listFlag,
  OPERATOR_OPTIONS,
  operatorFlags,
  runWithClient,
} from '../command';
import { checkDeployment } from '../deployment';
import { EXIT_CODES } from '../exitCodes';
import { FILE_KINDS, readConfigFile, type CheckedFile } from '../configFile';
import { formatTable } from '../table';

const flagsSchema = operatorFlags.extend({
  against: listFlag.optional(),
  kind: z.enum(FILE_KINDS).optional(),
});

const EMPTY_INVENTORY: Inventory = inventorySchema.parse({
  zones: [],
  models: [],
  organisations: [],
});

interface InventoryEffects {
  readonly base: number;
  readonly changes: ReturnType<typeof compareInventories>;
  readonly warnings: readonly string[];
}

const listVersionNames = (inventory: Inventory): ReadonlySet<string> =>
  new Set(
    inventory.models.flatMap(({ name, versions }) =>
      versions.map((item) => `${name}@${item.name}`),
    ),
  );

const listWarnings = (inventory: Inventory, status: AdminStatus): readonly string[] => {
  const versions = listVersionNames(inventory);
  const zones = new Set(inventory.zones.map(({ name }) => name));
  const unknownVersionWarnings = status.members.flatMap(({ endpoint, serves }) =>
    serves
      .map(({ model, version }) => `${model}@${version}`)
      .filter((name) => !versions.has(name))
      .map(
        (name) =>
          `endpoint ${endpoint} serves ${name}, which is not in the inventory and gets no requests`,
      ),
  );
  const unknownZoneWarnings = status.nodes
    .filter(({ zone }) => !zones.has(zone))
    .map(({ node, zone }) => `${node} runs in zone '${zone}', which is not in the inventory`);
  const unservedVersionWarnings = [...versions]
    .filter(
      (name) =>
        !status.members.some(({ serves }) =>
          serves.some((item) => `${item.model}@${item.version}` === name),
        ),
    )
    .map((name) => `no live endpoint serves ${name}`);
  return [...unknownVersionWarnings, ...unknownZoneWarnings, ...unservedVersionWarnings];
};

const readEffects = async (
  client: AdminClient,
  inventory: Inventory,
): Promise<InventoryEffects> => {
  const running = (await client.call<AdminInventory>('GET', '/admin/inventory')).unsafeCoerce();
  const status = (await client.call<AdminStatus>('GET', '/admin/status')).unsafeCoerce();
  const changes = compareInventories(running.inventory ?? EMPTY_INVENTORY, inventory);
  return { base: running.revision, changes, warnings: listWarnings(inventory, status) };
};

const printEffects = (io: CliIo, effects: InventoryEffects): void => {
  const { base, changes, warnings } = effects;
  io.writeOut(`against revision ${base}: ${changes.length} changes\n`);
  if (changes.length > 0) {
    io.writeOut(
      formatTable(
        [
          { title: 'CHANGE', read: (row) => row.change },
          { title: 'KIND', read: (row) => row.kind },
          { title: 'NAME', read: (row) => row.name },
          { title: 'EFFECT', read: (row) => row.effect },
        ],
        changes,
      ),
    );
  }
  warnings.forEach((warning) => io.writeOut(`note: ${warning}\n`));
};

const printFaults = (io: CliIo, faults: readonly Fault[], isJson: boolean): number => {
  if (isJson) printJson(io, { faults });
  else faults.forEach((fault) => io.writeError(`${formatFault(fault)}\n`));
  return EXIT_CODES.invalid;
};

const printChecked = (io: CliIo, files: readonly CheckedFile[]): void => {
  files.forEach(({ file, kind }) => io.writeOut(`${file}: ${kind}, no faults\n`));
};

/** `check`: reports all faults of settings, inventory and rules, and what a change would do. */
export const checkCommand = createCommand({
  usage: 'check [...files]',
  text: 'Check settings, inventory and rules; report all faults at once',
  options: [
    {
      name: '--kind <kind>',
      text: `Kind of the files, detected from their keys by default: ${FILE_KINDS.join(', ')}`,
    },
    {
      name: '--against <address>',
      text: 'Control host; show what the inventory would change there',
    },
    ...OPERATOR_OPTIONS,
  ],
  example: 'check entry.jsonc control.jsonc inventory.jsonc',
  args: z.tuple([z.array(z.coerce.string()).min(1, 'name at least one file')]),
  flags: flagsSchema,
  run: async ([files], flags, io) => {
    const results = files.map((file) => readConfigFile(file, flags.kind));
    const checked = results.flatMap((result) => result.toMaybe().toList());
    const own = results.flatMap((result) => result.swap().orDefault([]));
    const faults = [...own, ...checkDeployment(checked)];
    const isJson = flags.json === true;
    if (faults.length > 0) return printFaults(io, faults, isJson);
    const inventory = checked.find((item) => item.kind === 'inventory');
    if (flags.against === undefined || inventory?.kind !== 'inventory') {
      if (isJson) printJson(io, { faults: [] });
      else printChecked(io, checked);
      return EXIT_CODES.ok;
    }
    const effects = await runWithClient({ ...flags, control: flags.against }, io, (client) =>
      readEffects(client, inventory.value),
    );
    if (isJson) printJson(io, { faults: [], ...effects });
    else {
      printChecked(io, checked);
      printEffects(io, effects);
    }
    return EXIT_CODES.ok;
  },
});
