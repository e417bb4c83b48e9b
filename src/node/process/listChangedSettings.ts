const isTable = (value: unknown): value is Readonly<Record<string, unknown>> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

/** Lists the dotted names of the settings that differ between two sets. Values are not included. */
export const listChangedSettings = (
  before: unknown,
  after: unknown,
  name = '',
): readonly string[] => {
  if (!isTable(before) || !isTable(after)) {
    return JSON.stringify(before) === JSON.stringify(after) ? [] : [name];
  }
  const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
  return keys.flatMap((key) =>
    listChangedSettings(before[key], after[key], name === '' ? key : `${name}.${key}`),
  );
};
