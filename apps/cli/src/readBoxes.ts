/** Reads the status of boxes from their operators' ports. */
import { Agent } from "undici";

const ANSWER_TIMEOUT_MS = 2_000;

/** Status of a box; only `address` is set if the box did not answer. */
export type BoxStatus = Readonly<{
  address: string;
  box?: string;
  dataHall?: string;
  bundleVersion?: number;
  openAnswers?: number;
  isStopping?: boolean;
}>;

/** Reads the status of all boxes at once. */
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
