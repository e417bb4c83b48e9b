import { connect, createServer, type Socket } from 'node:net';
import { acquirePort } from './ports';
import type { ThrottledLink } from './throttledLink';

/** The direction of bytes through a relay. */
export type Direction = 'toTarget' | 'toCaller';

/** A TCP relay that can interrupt the link between two processes. */
export interface Relay {
  readonly address: string;
  /** Drops the bytes of one direction on all open and new connections until `restore`. */
  readonly cut: (direction: Direction) => void;
  /** Drops all bytes on the open connections from now on. New connections work. */
  readonly silence: () => void;
  /** Ends all cuts. After a cut, closes every open connection. */
  readonly restore: () => void;
  /** Returns the number of bytes received so far in both directions. */
  readonly countBytes: () => number;
  readonly stop: () => Promise<void>;
}

interface Link {
  readonly caller: Socket;
  readonly target: Socket;
}

/**
 * Starts a relay to an address in the form `host:port`. A throttle limits the rate towards the callers.
 */
export const startRelay = async (
  targetAddress: string,
  throttle?: ThrottledLink,
): Promise<Relay> => {
  const [host, port] = targetAddress.split(':') as [string, string];
  const cuts = new Set<Direction>();
  const links = new Set<Link>();
  const silent = new Set<Link>();
  let bytes = 0;

  const writeThrottled = (limit: ThrottledLink, from: Socket, to: Socket, chunk: Buffer): void => {
    from.pause();
    setTimeout(() => {
      if (!to.destroyed) to.write(chunk);
      from.resume();
    }, limit.queueBytes(chunk.length));
  };

  const relayBytes = (link: Link, direction: Direction): void => {
    const [from, to] =
      direction === 'toTarget' ? [link.caller, link.target] : [link.target, link.caller];
    const limit = direction === 'toCaller' ? throttle : undefined;
    from.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (silent.has(link) || cuts.has(direction) || to.destroyed) return;
      if (limit) {
        writeThrottled(limit, from, to, chunk);
        return;
      }
      const hasRoom = to.write(chunk);
      if (hasRoom) return;
      from.pause();
      to.once('drain', () => from.resume());
    });
    // While bytes are dropped, the end of the connection is not forwarded either.
    const close = (): void => {
      if (silent.has(link) || cuts.has(direction)) return;
      to.end();
    };
    from.on('error', () => to.destroy());
    from.on('end', close);
    from.on('close', () => {
      if (!to.destroyed) return;
      links.delete(link);
      silent.delete(link);
    });
  };

  const server = createServer({ allowHalfOpen: true }, (caller) => {
    const target = connect({ host, port: Number(port), allowHalfOpen: true });
    const link: Link = { caller, target };
    links.add(link);
    relayBytes(link, 'toTarget');
    relayBytes(link, 'toCaller');
  });
  const ownPort = await acquirePort();
  await new Promise<void>((resolve) => {
    server.listen(ownPort, host, resolve);
  });

  const closeLink = (link: Link): void => {
    link.caller.destroy();
    link.target.destroy();
    links.delete(link);
    silent.delete(link);
  };

  return {
    address: `${host}:${ownPort}`,
    cut: (direction) => {
      cuts.add(direction);
    },
    silence: () =>
      links.forEach((link) => {
        silent.add(link);
      }),
    restore: () => {
      // Connections that were open during a cut have lost bytes and cannot continue.
      if (cuts.size > 0) links.forEach(closeLink);
      cuts.clear();
    },
    countBytes: () => bytes,
    stop: async () => {
      links.forEach(closeLink);
      await new Promise((resolve) => {
        server.close(resolve);
      });
    },
  };
};
