/** How an answer's bytes are delimited. */
export interface Framing {
  readonly name: string;
  readonly version?: string;
  readonly createHead: (length: number) => string;
  /** Text that is sent for a body, with its end if the endpoint sends the whole body. */
  readonly formatBody: (text: string, isWhole: boolean) => string;
  /** Whether the framing shows where the body ends. */
  readonly isFramed: boolean;
  /** Whether callers could not read the body, because it has a coding that nobody asked for. */
  readonly isCoded?: boolean;
}

/** Formats a text as one chunk, with the last chunk if it is whole. */
export const formatChunks = (text: string, isWhole: boolean): string =>
  `${text && `${text.length.toString(16)}\r\n${text}\r\n`}${isWhole ? '0\r\n\r\n' : ''}`;
const formatPlain = (text: string): string => text;

/** Header of a body in chunks. */
export const CHUNKED = 'Transfer-Encoding: chunked\r\n';
const CLOSING = 'Connection: close\r\n';

/** All ways to delimit a body. */
export const framings: readonly Framing[] = [
  {
    name: 'a length',
    createHead: (length) => `Content-Length: ${length}\r\n`,
    formatBody: formatPlain,
    isFramed: true,
  },
  {
    name: 'a length, closing',
    createHead: (length) => `Content-Length: ${length}\r\n${CLOSING}`,
    formatBody: formatPlain,
    isFramed: true,
  },
  { name: 'chunks', createHead: () => CHUNKED, formatBody: formatChunks, isFramed: true },
  {
    name: 'chunks, closing',
    createHead: () => `${CHUNKED}${CLOSING}`,
    formatBody: formatChunks,
    isFramed: true,
  },
  { name: 'neither', createHead: () => '', formatBody: formatPlain, isFramed: false },
  {
    name: 'neither, closing',
    createHead: () => CLOSING,
    formatBody: formatPlain,
    isFramed: false,
  },
  {
    name: 'neither, over HTTP/1.0',
    version: 'HTTP/1.0',
    createHead: () => '',
    formatBody: formatPlain,
    isFramed: false,
  },
  {
    name: 'the identity transfer coding',
    createHead: () => 'Transfer-Encoding: identity\r\n',
    formatBody: formatPlain,
    isFramed: false,
  },
  {
    name: 'a compressing transfer coding',
    createHead: () => 'Transfer-Encoding: gzip\r\n',
    formatBody: formatPlain,
    isFramed: false,
    isCoded: true,
  },
  {
    name: 'a compressing transfer coding in chunks',
    createHead: () => 'Transfer-Encoding: gzip, chunked\r\n',
    formatBody: formatChunks,
    isFramed: true,
    isCoded: true,
  },
];
