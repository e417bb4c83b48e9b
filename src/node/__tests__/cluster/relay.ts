import { connect, createServer, type Socket } from 'node:net';
import { acquirePort } from './ports';

/** What a relay does with the bytes of one direction. */
export type Direction = 'toTarget' | 'toCaller';

/** A TCP relay between two processes whose link can be cut. */
export interface Relay {
  readonly address: string;
  /** Drops the bytes of one direction on all connections, old and new, until `restore`. */
  readonly cut: (direction: Direction) => void;
  /** Makes the open connections silent for good; new ones work. */
  readonly silence: () => void;
  readonly restore: () => void;
  /** Bytes that came in so far, both directions together. */
  readonly countBytes: () => number;
  readonly stop: () => Promise<void>;
}

interface Link {
  readonly caller: Socket;
  readonly target: Socket;
}

/** Starts a relay to the given address, `host:port`. */
export const startRelay = async (targetAddress: string): Promise<Relay> => {
  const [host, port] = targetAddress.split(':') as [string, string];
  const cuts = new Set<Direction>();
  const links = new Set<Link>();
  const silent = new Set<Link>();
  let bytes = 0;

  const relayBytes = (link: Link, direction: Direction): void => {
    const [from, to] =
      direction === 'toTarget' ? [link.caller, link.target] : [link.target, link.caller];
    from.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (silent.has(link) || cuts.has(direction) || to.destroyed) return;
      const hasRoom = to.write(chunk);
      if (hasRoom) return;
      from.pause();
      to.once('drain', () => from.resume());
    });
    // The end of a connection is lost with its bytes.
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
      // Bytes are missing on connections that lived through a cut: they cannot go on.
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
