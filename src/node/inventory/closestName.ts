import { distance } from 'fastest-levenshtein';

const MAX_DISTANCE = 3;
const MAX_DISTANCE_SHARE = 0.5;

/** Finds the known name closest to a mistyped one. Returns undefined if none is close enough. */
export const findClosestName = (given: string, known: Iterable<string>): string | undefined => {
  const limit = Math.min(MAX_DISTANCE, Math.ceil(given.length * MAX_DISTANCE_SHARE));
  const ranked = [...known]
    .map((name) => ({ name, edits: distance(given.toLowerCase(), name.toLowerCase()) }))
    .filter(({ edits }) => edits <= limit)
    .sort((a, b) => a.edits - b.edits);
  return ranked[0]?.name;
};

/**
 * Formats `; did you mean 'x'?` for the closest known name. Returns an empty string if none is
 * close enough.
 */
export const formatSuggestion = (given: string, known: Iterable<string>): string => {
  const closest = findClosestName(given, known);
  return closest === undefined ? '' : `; did you mean '${closest}'?`;
};
