import type { RequestLimits, RoutingConfig } from './types';

/**
 * Part of a changed list: `[start, count]` of consecutive items kept from the earlier list, or new
 * items.
 */
export type ListPart<T> =
  { readonly kept: readonly [number, number] } | { readonly added: readonly T[] };

/** A list as the parts that it consists of, in order. */
export type ListChanges<T> = readonly ListPart<T>[];

/** What leads from an earlier configuration to a later one. */
export interface ConfigChanges {
  readonly version: number;
  readonly limits: RequestLimits;
  readonly routes: ListChanges<RoutingConfig['routes'][number]>;
  readonly services: ListChanges<RoutingConfig['services'][number]>;
  readonly organisations: ListChanges<RoutingConfig['organisations'][number]>;
}

type Lists = Pick<RoutingConfig, 'routes' | 'services' | 'organisations'>;

const EMPTY_LISTS: Lists = { routes: [], services: [], organisations: [] };

const computeListChanges = <T>(before: readonly T[], after: readonly T[]): ListChanges<T> => {
  const positions = new Map(before.map((item, position) => [item, position]));
  const parts: ({ kept: [number, number] } | { added: T[] })[] = [];
  for (const item of after) {
    const position = positions.get(item);
    const last = parts.at(-1);
    if (position === undefined) {
      if (last && 'added' in last) last.added.push(item);
      else parts.push({ added: [item] });
    } else if (last && 'kept' in last && last.kept[0] + last.kept[1] === position) {
      last.kept[1] += 1;
    } else {
      parts.push({ kept: [position, 1] });
    }
  }
  return parts;
};

const applyListChanges = <T>(before: readonly T[], changes: ListChanges<T>): readonly T[] =>
  changes.flatMap((part) => {
    if ('added' in part) return part.added;
    const [start, count] = part.kept;
    if (start + count > before.length) {
      throw new RangeError(
        `items ${start} to ${start + count - 1} are kept of a list of ${before.length}`,
      );
    }
    return before.slice(start, start + count);
  });

/**
 * Computes the changes from one configuration to another; without an earlier one, they hold the
 * whole configuration. Items are equal only if they are the same object.
 */
export const computeConfigChanges = (
  before: Lists | undefined,
  after: RoutingConfig,
): ConfigChanges => {
  const { routes, services, organisations } = before ?? EMPTY_LISTS;
  return {
    version: after.version,
    limits: after.limits,
    routes: computeListChanges(routes, after.routes),
    services: computeListChanges(services, after.services),
    organisations: computeListChanges(organisations, after.organisations),
  };
};

/**
 * Applies changes to the configuration that they were computed from. Throws a `RangeError` if that
 * one cannot be the given one.
 */
export const applyConfigChanges = (
  before: Lists | undefined,
  changes: ConfigChanges,
): RoutingConfig => {
  const { routes, services, organisations } = before ?? EMPTY_LISTS;
  return {
    version: changes.version,
    limits: changes.limits,
    routes: applyListChanges(routes, changes.routes),
    services: applyListChanges(services, changes.services),
    organisations: applyListChanges(organisations, changes.organisations),
  };
};
