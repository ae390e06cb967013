/**
 * Test helpers: a deployed box before servers that answer in very small pieces, requests that get such answers, and sound
 * requests to another server meanwhile.
 */
import { startUsersSite } from "@stairgauge/standins";
import { closers, waitMs } from "./box.testkit.js";
import { startDeployedBox, type DeployedBox } from "./deployedBox.testkit.js";
import {
  askCounted,
  startWritingServer,
  writeSoundAnswer,
  type ChooseWriting,
  type CountedAnswer,
} from "./endlessAnswers.testkit.js";

const OTHER_PATH = "/other/";

/** Requests whose paths end so get an answer in small pieces. */
const PIECES = "pieces";

/** Time that the requests have. */
export const DEADLINE_MS = 2_000;

/** How long their client goes on waiting behind the deadline. */
const PATIENCE_MS = 1_500;

const SOUND_EVERY_MS = 150;

/** Pause before a request that was not taken is sent again. */
const RETRY_MS = 100;

/** The store and the servers before which boxes are started. */
export type PiecesSite = Readonly<{ store: string; addresses: readonly string[] }>;

/** Starts the store, a server of another service, and servers of pages and an engine that write what is chosen. */
export const startPiecesSite = async (choose: ChooseWriting): Promise<PiecesSite> => {
  const site = await startUsersSite({ engines: 0, services: 0 });
  closers.push(site.close);
  const addresses: string[] = [];
  const startServer = async (name: string) => {
    const address = await startWritingServer((call) =>
      call.path.endsWith(PIECES) ? choose(call) : writeSoundAnswer(name, call),
    );
    addresses.push(address);
    return address;
  };
  for (const name of ["page-a", "page-b"]) site.putService(name, await startServer(name));
  for (const name of ["engine-a", "engine-b"])
    site.putEngine(name, await startServer(name));
  site.putOtherService("other", await startServer("other"));
  return { store: site.store.address, addresses };
};

/** Starts such a site and a box before it. */
export const startBoxBeforePieces = async (
  choose: ChooseWriting,
): Promise<DeployedBox> => {
  const { store } = await startPiecesSite(choose);
  const box = await startDeployedBox({ name: "box-1", store });
  await awaitService(box);
  return box;
};

/** Sends one request; undefined if it has no end in the time that its client waits. */
const askPatiently = (
  box: DeployedBox,
  path: string,
  id: string,
): Promise<CountedAnswer | undefined> =>
  Promise.race([
    askCounted(box.ports, { path, id, deadlineMs: DEADLINE_MS }),
    waitMs(DEADLINE_MS + PATIENCE_MS).then(() => undefined),
  ]);

/** Sends a sound request, and again if it was not taken, until its deadline has passed; resolves with the last status, 0 for none. */
export const askSound = async (box: DeployedBox, id: string): Promise<number> => {
  const until = performance.now() + DEADLINE_MS;
  for (let tries = 0; ; tries += 1) {
    const answer = await askPatiently(box, `${OTHER_PATH}${id}`, `${id}-${tries}`);
    const status = answer?.status ?? 0;
    if (status === 200 || performance.now() > until || box.hasEnded()) return status;
    await waitMs(RETRY_MS);
  }
};

/** Waits until a sound request is served. */
export const awaitService = async (box: DeployedBox) => {
  for (let tries = 0; (await askSound(box, `first-${tries}`)) !== 200; tries += 1)
    await waitMs(SOUND_EVERY_MS);
};

/** What came of requests that were sent at once, and of sound ones. */
export type PiecesOutcome = Readonly<{
  hasEnded: boolean;
  memoryMb: number;
  /** Requests without an answer although their deadline had passed. */
  unanswered: number;
  answers: readonly (CountedAnswer | undefined)[];
  /** Status of each sound request, 0 for none. */
  meanwhile: readonly number[];
  afterwards: readonly number[];
}>;

/** Sends this many requests below the path, and sound ones until these have ended and three times afterwards. */
export const askForPieces = async (
  box: DeployedBox,
  { path, requests }: Readonly<{ path: string; requests: number }>,
): Promise<PiecesOutcome> => {
  const asked = Promise.all(
    Array.from({ length: requests }, (_, i) =>
      askPatiently(box, `${path}${i}-${PIECES}`, `piece-${i}`),
    ),
  );
  let isOver = false;
  void asked.then(() => (isOver = true));
  const sound: Promise<number>[] = [];
  while (!isOver) {
    sound.push(askSound(box, `meanwhile-${sound.length}`));
    await waitMs(SOUND_EVERY_MS);
  }
  const answers = await asked;
  const meanwhile = await Promise.all(sound);
  const afterwards: number[] = [];
  for (let i = 0; i < 3; i += 1) afterwards.push(await askSound(box, `afterwards-${i}`));
  return {
    hasEnded: box.hasEnded(),
    memoryMb: box.readUse().memoryMb,
    unanswered: answers.filter((answer) => !answer).length,
    answers,
    meanwhile,
    afterwards,
  };
};
