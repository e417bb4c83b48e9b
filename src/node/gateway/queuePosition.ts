import { chooseEnginePriority, type EnginePriorityInput } from '../decisions';
import type { EndpointLoad } from '../routingControl';
import { computeWorkAhead } from './pendingPrefill';

/** The place of a request in the queue of an engine. */
export interface QueuePosition {
  /** Undefined if requests have no priorities and go in order of arrival. */
  readonly priority: number | undefined;
  /** Prefill work that goes before the request, in milliseconds. */
  readonly queueMs: number;
  /** Prefill work of less urgent requests, which the request goes before, in milliseconds. */
  readonly displacedMs: number;
}

/** Chooses the priority of a request at an endpoint and computes its place in the queue. */
export const chooseQueuePosition = (
  load: Pick<EndpointLoad, 'readMs' | 'readMsByPriority'>,
  { rank, timeLeftMs, earlierPriority }: Omit<EnginePriorityInput, 'computeQueueMs' | 'prefillMs'>,
  prefillMs: number,
  hasPriorities = true,
): QueuePosition => {
  if (!hasPriorities) return { priority: undefined, queueMs: load.readMs, displacedMs: 0 };
  const computeQueueMs = (priority: number): number => computeWorkAhead(load, priority);
  const input = { rank, timeLeftMs, earlierPriority, prefillMs, computeQueueMs };
  const priority = chooseEnginePriority(input);
  const queueMs = computeQueueMs(priority);
  return { priority, queueMs, displacedMs: Math.max(0, load.readMs - queueMs) };
};
