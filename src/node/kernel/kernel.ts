import { createError } from '../errors';

/** Finds a started service by name. */
export type Lookup = <T>(name: string) => T;

/** A started service: the value it provides to other services and how to stop it. */
export interface StartedService {
  readonly value: unknown;
  readonly stop?: () => Promise<void> | void;
}

/** A service: its name, the names of the services it depends on, and how to start it. */
export interface Service {
  readonly name: string;
  readonly dependencies: readonly string[];
  readonly start: (find: Lookup) => Promise<StartedService> | StartedService;
}

/** A set of services that start in dependency order and stop in reverse order. */
export interface Kernel {
  readonly start: () => Promise<void>;
  readonly stop: () => Promise<void>;
  readonly find: Lookup;
}

const createKernelError = (message: string) =>
  createError({ type: 'invalid_request', message, step: 'kernel.start' });

const checkDependencies = (services: ReadonlyMap<string, Service>): void => {
  for (const service of services.values()) {
    const missing = service.dependencies.find((name) => !services.has(name));
    if (missing !== undefined) {
      throw createKernelError(`service '${service.name}' depends on unknown service '${missing}'`);
    }
  }
};

/** Sorts services so that each follows its dependencies; throws on a missing or circular one. */
export const resolveStartOrder = (list: readonly Service[]): readonly Service[] => {
  const services = new Map(list.map((service) => [service.name, service]));
  if (services.size !== list.length) throw createKernelError('two services have the same name');
  checkDependencies(services);
  const order: Service[] = [];
  const visited = new Set<string>();
  const addService = (service: Service, dependencyPath: readonly string[]): void => {
    if (visited.has(service.name)) return;
    if (dependencyPath.includes(service.name)) {
      const cycle = [
        ...dependencyPath.slice(dependencyPath.indexOf(service.name)),
        service.name,
      ].join(' -> ');
      throw createKernelError(`circular dependency: ${cycle}`);
    }
    for (const name of service.dependencies) {
      addService(services.get(name)!, [...dependencyPath, service.name]);
    }
    visited.add(service.name);
    order.push(service);
  };
  list.forEach((service) => addService(service, []));
  return order;
};

/** Creates a kernel for the given services. No service starts before `start` is called. */
export const createKernel = (list: readonly Service[]): Kernel => {
  const order = resolveStartOrder(list);
  const started = new Map<string, StartedService>();

  const find = <T>(name: string): T => {
    const service = started.get(name);
    if (!service) throw createKernelError(`service '${name}' is not started`);
    return service.value as T;
  };

  const stop = async (): Promise<void> => {
    const reverse = [...order].reverse();
    for (const service of reverse) {
      const handle = started.get(service.name);
      started.delete(service.name);
      if (handle?.stop) await handle.stop();
    }
  };

  const start = async (): Promise<void> => {
    try {
      for (const service of order) started.set(service.name, await service.start(find));
    } catch (cause) {
      await stop();
      throw cause;
    }
  };

  return { start, stop, find };
};
