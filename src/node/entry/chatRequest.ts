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

/** A chat request; fields that the router does not know pass through to the engine. */
export type ChatBody = z.infer<typeof chatSchema>;

/** Parses the body of a chat request. */
export const parseChatBody = (body: unknown): ChatBody => {
  const parsed = chatSchema.safeParse(body);
  if (parsed.success) return parsed.data;
  const faults = parsed.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`);
  const message = faults.join('; ');
  throw createError({ type: 'invalid_request', message, step: 'entry.parse' });
};

const DEFAULT_TASK: Task = {
  name: 'default',
  class: 'normal',
  idempotent: true,
  value: 'normal',
};

/** Finds the task that a chat request names; an unknown name is treated as the default. */
export const findTask = (view: View, name: string | undefined): Task => {
  const rules = view.find('rules', RULES_NAME);
  return rules?.tasks.find((task) => task.name === name) ?? DEFAULT_TASK;
};
