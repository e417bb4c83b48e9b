/** Creates a generator of numbers between 0 and 1, which are the same for the same seed. */
export const createRandom = (seed: number): (() => number) => {
  let state = seed;
  return () => {
    state = (state * 16_807) % 2_147_483_647;
    return state / 2_147_483_647;
  };
};
