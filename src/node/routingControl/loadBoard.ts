import { z } from 'zod';

/** Work of one gateway at one endpoint. */
export const endpointLoadSchema = z.strictObject({
  endpoint: z.string(),
  /** Requests under way. */
  running: z.number(),
  /** Reading of prompts that has not ended yet, in milliseconds. */
  readMs: z.number(),
});

/** Work of one gateway at one endpoint. */
export type EndpointLoad = Readonly<z.infer<typeof endpointLoadSchema>>;

/** Parameters of `load.exchange`. */
export const exchangeLoadParams = z.strictObject({
  gateway: z.string(),
  loads: z.array(endpointLoadSchema).max(5_000),
});

/** Parameters of `load.exchange`. */
export type ExchangeLoadParams = Readonly<z.infer<typeof exchangeLoadParams>>;

/** The work that all other gateways have told of. */
export interface ExchangeLoadAnswer {
  readonly loads: readonly EndpointLoad[];
}

/** Keeps the gateways' loads for a moment, so that each sees what the others send. */
export interface LoadBoard {
  /** Takes a gateway's loads and gives the sums of the others'; `now` is steady milliseconds. */
  readonly exchange: (params: ExchangeLoadParams, now: number) => ExchangeLoadAnswer;
}

interface Row {
  readonly at: number;
  readonly loads: readonly EndpointLoad[];
}

/** What was told before this many milliseconds says little of now. */
const FRESH_MS = 1_000;

/** Creates a board without any loads. */
export const createLoadBoard = (): LoadBoard => {
  const rows = new Map<string, Row>();
  return {
    exchange: ({ gateway, loads }, now) => {
      rows.set(gateway, { at: now, loads });
      const sums = new Map<string, EndpointLoad>();
      for (const [name, row] of rows) {
        if (now - row.at > FRESH_MS) {
          rows.delete(name);
        } else if (name !== gateway) {
          for (const { endpoint, running, readMs } of row.loads) {
            const known = sums.get(endpoint);
            sums.set(endpoint, {
              endpoint,
              running: (known?.running ?? 0) + running,
              readMs: (known?.readMs ?? 0) + readMs,
            });
          }
        }
      }
      return { loads: [...sums.values()] };
    },
  };
};
