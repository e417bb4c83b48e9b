import { stringify } from 'csv-stringify/sync';
import { z } from 'zod';
import { billPeriodSchema, type BillRow } from '../../shared';
import { printJson, type CliIo } from '../cliIo';
import {
  createCommand,
  OPERATOR_OPTIONS,
  operatorFlags,
  runWithClient,
  textFlag,
} from '../command';
import { EXIT_CODES } from '../exitCodes';
import { formatTable, type Column } from '../table';

const flagsSchema = operatorFlags.extend({
  organisation: textFlag.optional(),
  model: textFlag.optional(),
  from: textFlag.optional(),
  to: textFlag.optional(),
  period: billPeriodSchema.default('day'),
  csv: z.boolean().optional(),
});

type Flags = z.infer<typeof flagsSchema>;

const CSV_COLUMNS: readonly (keyof BillRow)[] = [
  'organisation',
  'period',
  'model',
  'version',
  'requests',
  'inputTokens',
  'outputTokens',
  'cost',
];

const COLUMNS: readonly Column<BillRow>[] = [
  { title: 'ORGANISATION', read: (row) => row.organisation },
  { title: 'PERIOD', read: (row) => row.period },
  { title: 'MODEL', read: (row) => row.model || '-' },
  { title: 'VERSION', read: (row) => row.version || '-' },
  { title: 'REQUESTS', read: (row) => row.requests, isNumber: true },
  { title: 'INPUT TOKENS', read: (row) => row.inputTokens, isNumber: true },
  { title: 'OUTPUT TOKENS', read: (row) => row.outputTokens, isNumber: true },
  { title: 'COST', read: (row) => row.cost, isNumber: true },
];

const printBills = (io: CliIo, rows: readonly BillRow[], flags: Flags): void => {
  if (flags.json) printJson(io, { bills: rows });
  else if (flags.csv) {
    io.writeOut(stringify([...rows], { header: true, columns: [...CSV_COLUMNS] }));
  } else if (rows.length === 0) io.writeOut('no bills\n');
  else io.writeOut(formatTable(COLUMNS, rows));
};

const formatQuery = (flags: Flags): string => {
  const { organisation, model, from, to, period } = flags;
  const entries = Object.entries({ organisation, model, from, to, period });
  const given = entries.filter((entry): entry is [string, string] => entry[1] !== undefined);
  return new URLSearchParams(given).toString();
};

/** `bills`: shows the bill totals by organisation, period and model. */
export const billsCommand = createCommand({
  usage: 'bills',
  text: 'Show bills by organisation, period and model',
  options: [
    { name: '--organisation <name>', text: 'Only bills of this organisation' },
    { name: '--model <name>', text: 'Only bills of this model' },
    { name: '--from <time>', text: 'From this day or time in ISO 8601, UTC' },
    { name: '--to <time>', text: 'Before this day or time' },
    { name: '--period <period>', text: `${billPeriodSchema.options.join(', ')}; day by default` },
    { name: '--csv', text: 'Print CSV' },
    ...OPERATOR_OPTIONS,
  ],
  example: 'bills --period month --csv --control 10.0.0.1:7000 --secret-file operator-secret',
  args: z.tuple([]),
  flags: flagsSchema,
  run: (_args, flags, io) =>
    runWithClient(flags, io, async (client) => {
      const path = `/admin/bills/totals?${formatQuery(flags)}`;
      const answer = await client.call<{ readonly bills: readonly BillRow[] }>('GET', path);
      printBills(io, answer.unsafeCoerce().bills, flags);
      return EXIT_CODES.ok;
    }),
});
