import { z } from 'zod';
import type { DecisionRecord, Explanation } from '../../shared';
import { printJson, type CliIo } from '../cliIo';
import {
  createCommand,
  OPERATOR_OPTIONS,
  operatorFlags,
  runWithClient,
  textFlag,
} from '../command';
import { EXIT_CODES } from '../exitCodes';

const formatValue = (value: unknown): string =>
  typeof value === 'string' ? value : JSON.stringify(value);

const printDecision = (io: CliIo, record: DecisionRecord): void => {
  io.writeOut(`${record.at}  ${record.decision}\n`);
  Object.entries(record.fields)
    .filter(([, value]) => value !== undefined && value !== '')
    .forEach(([key, value]) => io.writeOut(`    ${key}: ${formatValue(value)}\n`));
};

const printExplanation = (io: CliIo, explanation: Explanation): void => {
  io.writeOut(`request ${explanation.requestId}, received by ${explanation.entry || 'unknown'}\n`);
  explanation.decisions.forEach((record) => printDecision(io, record));
  explanation.bills.forEach((bill) => {
    const { organisation, model, version, inputTokens, outputTokens, cost } = bill;
    const name = model === '' ? 'plain service' : `${model}@${version}`;
    const tokens = `${inputTokens} + ${outputTokens} tokens`;
    io.writeOut(`billed to ${organisation}: ${name}, ${tokens}, cost ${cost}\n`);
  });
};

/** `explain`: shows the decisions on one request with their inputs. */
export const explainCommand = createCommand({
  usage: 'explain <request>',
  text: 'Show the decisions on one request with their inputs',
  options: OPERATOR_OPTIONS,
  example: 'explain req_1_0f3c --control 10.0.0.1:7000 --secret-file operator-secret',
  args: z.tuple([textFlag]),
  flags: operatorFlags,
  run: ([requestId], flags, io) =>
    runWithClient(flags, io, async (client) => {
      const path = `/admin/explain/${encodeURIComponent(requestId)}`;
      const explanation = (await client.call<Explanation>('GET', path)).unsafeCoerce();
      if (flags.json) printJson(io, explanation);
      else printExplanation(io, explanation);
      return EXIT_CODES.ok;
    }),
});
