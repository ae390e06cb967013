/** Marks the end of an exhaustive switch; reaching it is a programming fault. */
export const assertNever = (value: never): never => {
  throw new TypeError(`unexpected variant: ${JSON.stringify(value)}`);
};
