/** Ends an exhaustive switch; throws, as only a programming error gets there. */
export const assertNever = (value: never): never => {
  throw new TypeError(`unexpected variant: ${JSON.stringify(value)}`);
};
