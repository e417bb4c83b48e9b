import { z } from 'zod';
import type { AdminInventory, AdminStatus } from '../../shared';
import { printJson, type CliIo } from '../cliIo';
import { createCommand, OPERATOR_OPTIONS, operatorFlags, runWithClient } from '../command';
import { EXIT_CODES } from '../exitCodes';
import { formatTable, type Column } from '../table';

const flagsSchema = operatorFlags.extend({ inventory: z.boolean().optional() });

type Group = AdminStatus['groups'][number];
type Node = AdminStatus['nodes'][number];
type Member = AdminStatus['members'][number];
type Withdrawal = AdminStatus['withdrawals'][number];
type Rollout = AdminStatus['rollouts'][number];

const GROUP_COLUMNS: readonly Column<Group>[] = [
  { title: 'GROUP', read: (row) => row.group },
  { title: 'THIS HOST', read: (row) => row.role },
  { title: 'LEADER', read: (row) => row.leader || '-' },
  { title: 'TERM', read: (row) => row.term, isNumber: true },
  { title: 'COMMITTED', read: (row) => row.committed, isNumber: true },
  { title: 'APPLIED', read: (row) => row.applied, isNumber: true },
  { title: 'MEMBERS', read: (row) => row.members.join(' ') },
];

const NODE_COLUMNS: readonly Column<Node>[] = [
  { title: 'NODE', read: (row) => row.node },
  { title: 'ROLE', read: (row) => row.role },
  { title: 'ZONE', read: (row) => row.zone },
  { title: 'ADDRESS', read: (row) => row.address },
  { title: 'INCARNATION', read: (row) => row.incarnation, isNumber: true },
  { title: 'REVISION', read: (row) => row.revision, isNumber: true },
  { title: 'LEASE MS', read: (row) => row.leaseLeftMs, isNumber: true },
];

const formatServes = (member: Member): string =>
  member.service ?? member.serves.map(({ model, version }) => `${model}@${version}`).join(' ');

const MEMBER_COLUMNS: readonly Column<Member>[] = [
  { title: 'ENDPOINT', read: (row) => row.endpoint },
  { title: 'STATE', read: (row) => row.state },
  { title: 'AGENT', read: (row) => row.node },
  { title: 'ZONE', read: (row) => row.zone },
  { title: 'SLOTS', read: (row) => row.slots, isNumber: true },
  { title: 'SERVES', read: formatServes },
];

const WITHDRAWAL_COLUMNS: readonly Column<Withdrawal>[] = [
  { title: 'WITHDRAWN', read: (row) => `${row.model}@${row.version}` },
  { title: 'REASON', read: (row) => row.reason },
];

const ROLLOUT_COLUMNS: readonly Column<Rollout>[] = [
  { title: 'ROLL-OUT', read: (row) => row.model },
  { title: 'FROM', read: (row) => row.from },
  { title: 'TO', read: (row) => row.to },
  { title: 'STEP', read: (row) => row.step, isNumber: true },
  { title: 'STATE', read: (row) => row.state },
  { title: 'REASON', read: (row) => row.reason },
];

const printTable = <Row>(
  io: CliIo,
  columns: readonly Column<Row>[],
  rows: readonly Row[],
): void => {
  if (rows.length > 0) io.writeOut(`\n${formatTable(columns, rows)}`);
};

const printStatus = (io: CliIo, status: AdminStatus): void => {
  const { host, revision, inventoryRevision, isConfirmed } = status;
  const warning = isConfirmed ? '' : '; NOT CONFIRMED by a quorum, may be out of date';
  io.writeOut(`${host}: inventory ${inventoryRevision}, revision ${revision}${warning}\n`);
  printTable(io, GROUP_COLUMNS, status.groups);
  printTable(io, NODE_COLUMNS, status.nodes);
  printTable(io, MEMBER_COLUMNS, status.members);
  printTable(io, WITHDRAWAL_COLUMNS, status.withdrawals);
  printTable(io, ROLLOUT_COLUMNS, status.rollouts);
};

/** `status`: shows groups, nodes, endpoints, withdrawals and roll-outs. */
export const statusCommand = createCommand({
  usage: 'status',
  text: 'Show control groups, nodes, endpoints, withdrawals and roll-outs',
  options: [
    {
      name: '--inventory',
      text: 'Print the running inventory and its revision instead of the status',
    },
    ...OPERATOR_OPTIONS,
  ],
  example: 'status --control 10.0.0.1:7000 --secret-file operator-secret',
  args: z.tuple([]),
  flags: flagsSchema,
  run: (_args, flags, io) =>
    runWithClient(flags, io, async (client) => {
      if (flags.inventory) {
        const answer = await client.call<AdminInventory>('GET', '/admin/inventory');
        const { revision, inventory } = answer.unsafeCoerce();
        io.writeError(`revision ${revision}\n`);
        printJson(io, inventory);
        return EXIT_CODES.ok;
      }
      const status = (await client.call<AdminStatus>('GET', '/admin/status')).unsafeCoerce();
      if (flags.json) printJson(io, status);
      else printStatus(io, status);
      return EXIT_CODES.ok;
    }),
});
