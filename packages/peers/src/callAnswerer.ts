/** Calls what answers another box's question. */

/** Rejects with what the answerer throws, now or later, so that whoever asked is told of it. */
export const callAnswerer = async <Answer>(
  answer: () => Promise<Answer>,
): Promise<Answer> => answer();
