import type { CliCommand } from '../command';
import { applyCommand } from './apply';
import { billsCommand } from './bills';
import { checkCommand } from './check';
import { devCommand } from './dev';
import { explainCommand } from './explain';
import { agentCommand, controlCommand, entryCommand } from './roles';
import { rolloutCommand } from './rollout';
import { statusCommand } from './status';
import { withdrawCommand } from './withdraw';

/** All commands by name, in the order of `--help`. */
export const COMMANDS: Readonly<Record<string, CliCommand>> = {
  dev: devCommand,
  entry: entryCommand,
  agent: agentCommand,
  control: controlCommand,
  check: checkCommand,
  apply: applyCommand,
  status: statusCommand,
  withdraw: withdrawCommand,
  rollout: rolloutCommand,
  bills: billsCommand,
  explain: explainCommand,
};
