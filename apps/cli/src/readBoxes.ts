/** Asks boxes on their operators' ports how they are. */
import { Agent } from "undici";

const ANSWER_TIMEOUT_MS = 2_000;

/** A box as it answers, or does not. */
export type BoxStatus = Readonly<{
  address: string;
  box?: string;
  dataHall?: string;
  bundleVersion?: number;
  openAnswers?: number;
  isStopping?: boolean;
}>;

/** Reads the status of every box; one that gives no answer has only its address. */
export const readBoxes = async (
  addresses: readonly string[],
): Promise<readonly BoxStatus[]> => {
  const agent = new Agent({
    connect: { timeout: ANSWER_TIMEOUT_MS },
    headersTimeout: ANSWER_TIMEOUT_MS,
    bodyTimeout: ANSWER_TIMEOUT_MS,
  });
  const readOne = async (address: string): Promise<BoxStatus> => {
    try {
      const answer = await agent.request({
        origin: `http://${address}`,
        path: "/status",
        method: "GET",
      });
      return { address, ...((await answer.body.json()) as Omit<BoxStatus, "address">) };
    } catch {
      return { address };
    }
  };
  const boxes = await Promise.all(addresses.map(readOne));
  await agent.destroy();
  return boxes;
};
