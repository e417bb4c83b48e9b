import { performance } from 'node:perf_hooks';
import { z } from 'zod';
import { servedVersion } from '../inventory';

/** Body of `POST /announce`, which an engine or plain service sends about once a second. */
export const engineAnnouncementSchema = z
  .object({
    endpoint: z.string().min(1).max(64),
    address: z.string(),
    serves: z.array(servedVersion).readonly().default([]),
    service: z.string().optional(),
    role: z.string().optional(),
    adapters: z.array(z.string()).readonly().optional(),
    slots: z.number().int().positive(),
    checksFencing: z.boolean().default(false),
  })
  .readonly();

/** An announcement of an engine or plain service. */
export type EngineAnnouncement = z.infer<typeof engineAnnouncementSchema>;

/** The endpoints whose latest announcement has not timed out. */
export interface AnnouncementStore {
  readonly add: (announcement: EngineAnnouncement) => void;
  readonly find: (endpoint: string) => EngineAnnouncement | undefined;
  readonly list: () => readonly EngineAnnouncement[];
  readonly countSlots: () => number;
}

/** Creates a store that omits endpoints without an announcement in the last `timeoutMs`. */
export const createAnnouncementStore = (timeoutMs: number): AnnouncementStore => {
  const entries = new Map<string, { readonly at: number; readonly value: EngineAnnouncement }>();

  const list = (): readonly EngineAnnouncement[] => {
    const oldest = performance.now() - timeoutMs;
    return [...entries.values()].filter(({ at }) => at >= oldest).map(({ value }) => value);
  };

  return {
    add: (value) => {
      entries.set(value.endpoint, { at: performance.now(), value });
    },
    find: (endpoint) => list().find((item) => item.endpoint === endpoint),
    list,
    countSlots: () => list().reduce((sum, item) => sum + item.slots, 0),
  };
};
