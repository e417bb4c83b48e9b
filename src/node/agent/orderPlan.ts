import type { Endpoint, ServedVersion } from '../inventory';

/** An order that an agent sends to an engine. */
export type EngineOrder =
  | { readonly type: 'load'; readonly model: string; readonly version: string }
  | { readonly type: 'unload'; readonly model: string; readonly version: string }
  | { readonly type: 'setRole'; readonly role: string }
  | { readonly type: 'loadAdapter'; readonly adapter: string }
  | { readonly type: 'unloadAdapter'; readonly adapter: string };

/** State of an engine, as it announced it. */
export interface EngineState {
  readonly serves: readonly ServedVersion[];
  readonly role?: string;
  readonly adapters?: readonly string[];
}

/** Conditions that hold back an order. */
export interface OrderConstraints {
  readonly isWithdrawn: (model: string, version: string) => boolean;
  readonly hasWork: (model: string, version: string) => boolean;
}

const hasVersion = (list: readonly ServedVersion[], wanted: ServedVersion): boolean =>
  list.some((item) => item.model === wanted.model && item.version === wanted.version);

const listVersionOrders = (
  desired: Endpoint,
  engine: EngineState,
  constraints: OrderConstraints,
): readonly EngineOrder[] => {
  if (desired.load === undefined) return [];
  const wanted = desired.load.filter((item) => !constraints.isWithdrawn(item.model, item.version));
  const missing = wanted.filter((item) => !hasVersion(engine.serves, item));
  const surplus = engine.serves.filter((item) => !hasVersion(desired.load!, item));
  const idle = surplus.filter((item) => !constraints.hasWork(item.model, item.version));
  return [
    ...idle.map((item) => ({ type: 'unload', ...item }) as const),
    ...missing.map((item) => ({ type: 'load', ...item }) as const),
  ];
};

const listAdapterOrders = (desired: Endpoint, engine: EngineState): readonly EngineOrder[] => {
  if (desired.adapters === undefined) return [];
  const present = engine.adapters ?? [];
  const wanted = desired.adapters;
  return [
    ...present
      .filter((adapter) => !wanted.includes(adapter))
      .map((adapter) => ({ type: 'unloadAdapter', adapter }) as const),
    ...wanted
      .filter((adapter) => !present.includes(adapter))
      .map((adapter) => ({ type: 'loadAdapter', adapter }) as const),
  ];
};

const listRoleOrders = (desired: Endpoint, engine: EngineState): readonly EngineOrder[] => {
  const isSame = desired.role === undefined || desired.role === engine.role;
  return isSame ? [] : [{ type: 'setRole', role: desired.role }];
};

/** Lists the orders that bring an engine to its desired state, in sending sequence. */
export const listOrders = (
  desired: Endpoint | undefined,
  engine: EngineState,
  constraints: OrderConstraints,
): readonly EngineOrder[] => {
  if (!desired) return [];
  return [
    ...listRoleOrders(desired, engine),
    ...listVersionOrders(desired, engine, constraints),
    ...listAdapterOrders(desired, engine),
  ];
};
