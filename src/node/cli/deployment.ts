import { formatSuggestion, type Inventory } from '../inventory';
import type { Fault } from '../settings';
import type { CheckedFile } from './configFile';

type RoleFile = Exclude<CheckedFile, { readonly kind: 'inventory' }>;

const createFault = (file: string, path: string, message: string): Fault => ({
  file,
  line: 1,
  path,
  message,
});

const checkNames = (roles: readonly RoleFile[]): readonly Fault[] => {
  const files = new Map<string, string>();
  return roles.flatMap(({ file, value }) => {
    const other = files.get(value.node);
    files.set(value.node, file);
    if (other === undefined) return [];
    return [createFault(file, 'node', `node name '${value.node}' is also used in ${other}`)];
  });
};

const checkZonesAndHosts = (roles: readonly RoleFile[], inventory: Inventory): readonly Fault[] => {
  const zones = inventory.zones.map(({ name }) => name);
  const hosts = inventory.hosts.map(({ name }) => name);
  return roles.flatMap(({ file, value }) => {
    const { zone, host } = value;
    const zoneFault = zones.includes(zone)
      ? []
      : [createFault(file, 'zone', `unknown zone '${zone}'${formatSuggestion(zone, zones)}`)];
    const isKnown = host === undefined || hosts.includes(host);
    const hostFault = isKnown
      ? []
      : [createFault(file, 'host', `unknown host '${host}'${formatSuggestion(host, hosts)}`)];
    return [...zoneFault, ...hostFault];
  });
};

const checkPeers = (roles: readonly RoleFile[]): readonly Fault[] => {
  const controls = roles.filter((item) => item.kind === 'control');
  const formatPeers = (peers: (typeof controls)[number]['value']['peers']): string =>
    peers
      .map(({ node, address }) => `${node}=${address}`)
      .sort()
      .join(' ');
  const [first] = controls;
  return controls.flatMap(({ file, value }) => {
    const isListed = value.peers.some(({ node }) => node === value.node);
    const missingSelfFaults = isListed
      ? []
      : [createFault(file, 'peers', `does not list this control host, '${value.node}'`)];
    const isSame = formatPeers(value.peers) === formatPeers(first!.value.peers);
    const differenceFaults = isSame
      ? []
      : [createFault(file, 'peers', `differs from ${first!.file}`)];
    return [...missingSelfFaults, ...differenceFaults];
  });
};

const checkControlLists = (roles: readonly RoleFile[]): readonly Fault[] => {
  const peers = roles.flatMap((item) => (item.kind === 'control' ? item.value.peers : []));
  const known = new Set(peers.map(({ address }) => address));
  if (known.size === 0) return [];
  return roles.flatMap((item) => {
    if (item.kind === 'control') return [];
    return item.value.control
      .filter((address) => !known.has(address))
      .map((address) =>
        createFault(item.file, 'control', `${address} is not the address of a control host`),
      );
  });
};

const checkSharedSettings = (roles: readonly RoleFile[]): readonly Fault[] => {
  const [first] = roles;
  return roles.flatMap(({ file, value }) => {
    const isSame = value.secrets.internal === first!.value.secrets.internal;
    const secretFaults = isSame
      ? []
      : [createFault(file, 'secrets.internal', `differs from ${first!.file}`)];
    const hasSameTls = (value.tls === undefined) === (first!.value.tls === undefined);
    const tlsFaults = hasSameTls
      ? []
      : [createFault(file, 'tls', `must be set both here and in ${first!.file}, or in neither`)];
    return [...secretFaults, ...tlsFaults];
  });
};

/** Compares files with each other: names, zones, peers, control lists, secrets, TLS. */
export const checkDeployment = (files: readonly CheckedFile[]): readonly Fault[] => {
  const roles = files.filter((item): item is RoleFile => item.kind !== 'inventory');
  const inventory = files.find((item) => item.kind === 'inventory');
  const zoneFaults =
    inventory?.kind === 'inventory' ? checkZonesAndHosts(roles, inventory.value) : [];
  return [
    ...checkNames(roles),
    ...zoneFaults,
    ...checkPeers(roles),
    ...checkControlLists(roles),
    ...checkSharedSettings(roles),
  ];
};
