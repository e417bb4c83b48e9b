import { z } from 'zod';
import { servedVersion } from '../inventory';

/** The state of an endpoint as announced by its agent. */
export const announcementSchema = z
  .strictObject({
    endpoint: z.string(),
    host: z.string(),
    serves: z.array(servedVersion).readonly(),
    service: z.string().optional(),
    slots: z.number().int().positive(),
    checksFencing: z.boolean(),
    state: z.enum(['live', 'leaving']),
  })
  .readonly();

/** The state of an endpoint as announced by its agent. */
export type Announcement = z.infer<typeof announcementSchema>;
