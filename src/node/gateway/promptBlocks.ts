import type { CallerHeaders } from './types';

/** Bounds the length of a log line. */
const MAX_LOGGED_BLOCKS = 16;

/** Lists the ids of a prompt's blocks for a log line; undefined for a request without a prompt. */
export const listLoggedBlocks = ({
  promptBlocks,
}: Pick<CallerHeaders, 'promptBlocks'>): readonly string[] | undefined =>
  promptBlocks.length === 0
    ? undefined
    : promptBlocks.slice(0, MAX_LOGGED_BLOCKS).map(({ id }) => id);
