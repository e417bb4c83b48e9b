import { applyEdits, findNodeAtLocation, modify, parseTree, type Node } from 'jsonc-parser';
import { createError } from '../errors';

/** A chat request body as it is sent to the engine. */
export interface EngineBody {
  readonly body: Buffer;
  readonly isStream: boolean;
  /** Whether the caller requested the usage chunk. */
  readonly wantsUsage: boolean;
  /** Estimated prompt tokens, for an answer that ends before the engine reports usage. */
  readonly inputTokens: number;
}

const CHARACTERS_PER_TOKEN = 4;
const PRESERVE_FORMATTING = {} as const;

const createBodyError = (message: string) =>
  createError({ type: 'invalid_request', message, step: 'agent.engine', outcome: 'not_run' });

const checkDuplicateKeys = (root: Node): void => {
  const names = (root.children ?? []).map((property) => String(property.children?.[0]?.value));
  const repeated = names.find((name, index) => names.indexOf(name) !== index);
  if (repeated !== undefined) throw createBodyError(`field '${repeated}' occurs more than once`);
};

const parseObject = (text: string): Node => {
  const root = parseTree(text);
  if (root?.type !== 'object') throw createBodyError('the body is not a JSON object');
  checkDuplicateKeys(root);
  return root;
};

const readFlag = (root: Node, path: readonly string[]): boolean =>
  findNodeAtLocation(root, [...path])?.value === true;

const replaceField = (text: string, path: readonly string[], value: unknown): string =>
  applyEdits(text, modify(text, [...path], value, PRESERVE_FORMATTING));

/**
 * Sets the served model in a chat body and requests usage in streams. All other text stays as
 * the caller sent it, so that numbers keep their digits.
 */
export const createEngineBody = (bytes: Buffer, model: string): EngineBody => {
  const text = bytes.toString('utf8');
  const root = parseObject(text);
  const isStream = readFlag(root, ['stream']);
  const wantsUsage = readFlag(root, ['stream_options', 'include_usage']);
  const messages = findNodeAtLocation(root, ['messages']);
  const inputTokens = Math.ceil((messages?.length ?? 0) / CHARACTERS_PER_TOKEN);
  const hasOptions = findNodeAtLocation(root, ['stream_options'])?.type === 'object';
  let engineText = replaceField(text, ['model'], model);
  if (isStream && !wantsUsage) {
    engineText = hasOptions
      ? replaceField(engineText, ['stream_options', 'include_usage'], true)
      : replaceField(engineText, ['stream_options'], { include_usage: true });
  }
  return { body: Buffer.from(engineText), isStream, wantsUsage, inputTokens };
};
