import { request as requestHttp } from 'undici';
import type { RunRequest, BufferedAnswer } from './runTypes';

/** Client of the rating service. */
export interface RatingClient {
  /** Returns a score in 0..1, or undefined if the service fails or is too slow. */
  readonly fetchScore: (request: RunRequest, answer: BufferedAnswer) => Promise<number | undefined>;
}

const RATING_TIMEOUT_MS = 5_000;
/** Maximum number of concurrent ratings. Further ones are skipped. */
const MAX_CONCURRENT_RATINGS = 32;
const MAX_TEXT_BYTES = 65_536;

const formatBody = (request: RunRequest, answer: BufferedAnswer): string =>
  JSON.stringify({
    requestId: request.requestId,
    organisation: request.organisation.name,
    task: request.task.name,
    model: answer.model,
    version: answer.version,
    input: request.body.subarray(0, MAX_TEXT_BYTES).toString('utf8'),
    answer: answer.body.subarray(0, MAX_TEXT_BYTES).toString('utf8'),
  });

const readScore = (value: unknown): number | undefined => {
  const score = (value as { readonly score?: unknown } | null)?.score;
  const isScore = typeof score === 'number' && score >= 0 && score <= 1;
  return isScore ? score : undefined;
};

/** Creates a client of the rating service. Without an address it returns no scores. */
export const createRatingClient = (address: string | undefined): RatingClient => {
  let active = 0;

  const callService = async (
    to: string,
    request: RunRequest,
    answer: BufferedAnswer,
  ): Promise<number | undefined> => {
    // The rating service is external, so the call must not carry the internal secret.
    const response = await requestHttp(`http://${to}/rate`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: formatBody(request, answer),
      signal: AbortSignal.timeout(RATING_TIMEOUT_MS),
    });
    if (response.statusCode === 200) return readScore(await response.body.json());
    await response.body.dump();
    return undefined;
  };

  return {
    fetchScore: async (request, answer) => {
      if (address === undefined || active >= MAX_CONCURRENT_RATINGS) return undefined;
      active += 1;
      try {
        return await callService(address, request, answer);
      } catch {
        return undefined;
      } finally {
        active -= 1;
      }
    },
  };
};
