import { z } from 'zod';
import { servedVersion } from '../inventory';

/** What an agent says of its endpoint. */
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

/** What an agent says of its endpoint. */
export type Announcement = z.infer<typeof announcementSchema>;
