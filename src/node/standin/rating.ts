import { z } from 'zod';
import { createError } from '../errors';
import { createHttpServer, startHttpServer, type ListenAddress } from '../rpc';

/** Body of `POST /rate`: the answer to rate. */
export const rateRequestSchema = z
  .looseObject({ model: z.string(), version: z.string(), task: z.string(), answer: z.string() })
  .readonly();

/** A request to rate an answer. */
export type RateRequest = z.infer<typeof rateRequestSchema>;

/** A running rating service. */
export interface StandinRating {
  readonly address: string;
  readonly stop: () => Promise<void>;
}

/** Starts a rating service that computes scores with the given function. */
export const startStandinRating = async (
  listen: ListenAddress,
  computeScore: (request: RateRequest) => number,
): Promise<StandinRating> => {
  const app = createHttpServer();
  app.post('/rate', async (request) => {
    const parsed = rateRequestSchema.safeParse(request.body);
    if (parsed.success) return { score: computeScore(parsed.data) };
    const message = parsed.error.issues[0]?.message ?? 'the body does not match the schema';
    throw createError({ type: 'invalid_request', message, step: 'rating.parse' });
  });
  const address = await startHttpServer(app, listen);
  return { address, stop: () => app.close() };
};
