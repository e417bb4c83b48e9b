/** Measures the time per event of one stream while it runs. */
export interface GapSampler {
  /**
   * Records events that were read at `at` after waiting for them since `waitedSince`; both are
   * monotonic times in milliseconds.
   */
  readonly record: (events: number, waitedSince: number, at: number) => void;
}

/** Reads in one sample. The median of fewer is often the time of a prefill step. */
const READS_PER_SAMPLE = 8;
/** A stream is sampled at least this often, in milliseconds, so that a slow endpoint shows early. */
const MAX_SAMPLE_MS = 250;
/** Fewest reads in a sample. */
const MIN_READS = 3;
/** Time for delivery to the caller above which events pile up meanwhile, in milliseconds. */
const MAX_DELIVERY_MS = 5;

/** Creates a sampler that passes on the median time per event of several reads. */
export const createGapSampler = (handleSample: (gapMs: number) => void): GapSampler => {
  let gaps: number[] = [];
  let lastReadAt: number | undefined;
  let sampleStartedAt = 0;
  return {
    record: (events, waitedSince, at) => {
      const before = lastReadAt;
      lastReadAt = at;
      if (before === undefined || events === 0 || waitedSince - before > MAX_DELIVERY_MS) return;
      if (gaps.length === 0) sampleStartedAt = before;
      gaps.push((at - before) / events);
      const isDue = gaps.length >= READS_PER_SAMPLE || at - sampleStartedAt >= MAX_SAMPLE_MS;
      if (!isDue || gaps.length < MIN_READS) return;
      const sorted = gaps.sort((a, b) => a - b);
      gaps = [];
      handleSample(sorted[Math.floor(sorted.length / 4)]!);
    },
  };
};
