/** Ids under which requests are recorded as runs. */
import type { RequestHead } from "@stairgauge/forwarding";

/** The ids of one box. */
export type RunIds = Readonly<{
  /** Returns the client's id of the request, or one that is unique at this box. */
  getRunId: (head: RequestHead) => string;
}>;

/** Creates the ids. */
export const createRunIds = (): RunIds => {
  let next = 0;
  /** A request without an id has the same one when it is admitted and when it is sent. */
  const ids = new WeakMap<RequestHead, string>();

  return {
    getRunId: (head) => {
      if (head.id !== undefined) return head.id;
      const known = ids.get(head);
      if (known !== undefined) return known;
      next += 1;
      const id = `unnamed-${next}`;
      ids.set(head, id);
      return id;
    },
  };
};
