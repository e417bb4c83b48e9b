import type { EndpointRecord } from '../registry';

/** The records of a control host, as a gateway holds them. */
export interface HostRecords {
  bootId: string;
  revision: number;
  records: Map<string, EndpointRecord>;
  /** Whether records have arrived that are not merged yet, because more of them follow. */
  hasChanges: boolean;
  isReachable: boolean;
  /** Monotonic time in milliseconds of the latest answer. */
  answeredAt: number;
  /** Whether the host, one of an earlier release, refused to have endpoints followed. */
  refusesFollowed: boolean;
}

/**
 * What a control host has last said of an endpoint's reports counts as overdue when the host has not
 * answered for this time, unless no host answers.
 */
const HOST_LOST_MS = 3_000;

/** Creates the state of a control host that has not answered yet. */
export const createHostRecords = (now: number): HostRecords => ({
  bootId: '',
  revision: -1,
  records: new Map(),
  hasChanges: false,
  isReachable: true,
  answeredAt: now,
  refusesFollowed: false,
});

const isLost = ({ answeredAt }: HostRecords, now: number): boolean =>
  now - answeredAt > HOST_LOST_MS;

/** Counts the control hosts that have not answered for a while. */
export const countLostHosts = (hosts: readonly HostRecords[], now: number): number =>
  hosts.filter((host) => isLost(host, now)).length;

/** Lists the records of each control host; those of a lost one may be out of date. */
export const listHostRecords = (
  hosts: readonly HostRecords[],
  now: number,
): readonly (readonly EndpointRecord[])[] => {
  const hasAnyHost = countLostHosts(hosts, now) < hosts.length;
  return hosts.map((host) => {
    const records = [...host.records.values()];
    if (!hasAnyHost || !isLost(host, now)) return records;
    return records.map((record) => ({ ...record, isOverdue: true }));
  });
};
