import { z } from 'zod';
import { createError } from '../errors';
import { RULES_NAME, type View } from '../view';
import type { Task } from '../inventory';

const chatSchema = z.looseObject({
  model: z.string().min(1).max(128),
  messages: z.array(z.looseObject({ role: z.string() })).min(1),
  stream: z.boolean().nullish(),
  stream_options: z.looseObject({ include_usage: z.boolean().nullish() }).nullish(),
  metadata: z.looseObject({ task: z.string().max(64).optional() }).nullish(),
});

/** The fields of a chat request that the router reads. */
export type ChatBody = z.infer<typeof chatSchema>;

const createParseError = (message: string) =>
  createError({ type: 'invalid_request', message, step: 'entry.parse' });

const decodeText = (body: Buffer): string => {
  try {
    return new TextDecoder('utf-8', { fatal: true }).decode(body);
  } catch {
    throw createParseError('the body is not UTF-8 text');
  }
};

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch (cause) {
    throw createParseError(`the body is not JSON: ${(cause as Error).message}`);
  }
};

/** Parses the body of a chat request. The engine receives the body as the caller sent it. */
export const parseChatBody = (body: Buffer): ChatBody => {
  const parsed = chatSchema.safeParse(parseJson(decodeText(body)));
  if (!parsed.success) {
    const issues = parsed.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`);
    throw createParseError(issues.join('; '));
  }
  if (parsed.data.stream_options && parsed.data.stream !== true) {
    throw createParseError('stream_options: allowed only when stream is true');
  }
  return parsed.data;
};

const DEFAULT_TASK: Task = {
  name: 'default',
  class: 'normal',
  idempotent: true,
  value: 'normal',
};

/** Finds the task that a chat request names. An unknown name gives the default task. */
export const findTask = (view: View, name: string | undefined): Task => {
  const rules = view.find('rules', RULES_NAME);
  return rules?.tasks.find((task) => task.name === name) ?? DEFAULT_TASK;
};
