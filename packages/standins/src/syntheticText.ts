/** Deterministic texts of the stand-in engine, with a heavy-tailed distribution of lengths. */
import { createHash } from "node:crypto";
import type { GenerationId } from "@stairgauge/common";
import type { StartRequest } from "@stairgauge/engines";

const WORDS =
  "a bright quiet flat near the old port with two rooms and one small balcony over the river freshly painted ready in spring call after noon".split(
    " ",
  );
/** Median length of an answer in tokens, and standard deviation of the length's logarithm. */
const MEDIAN_LENGTH = 120;
const LENGTH_SPREAD = 0.9;
const PREFIX_CHARACTERS = 256;
const UINT32_RANGE = 2 ** 32;
const LENGTH_MARKER = /\[length=(\d{1,6})\]/;
const CHARACTERS_PER_TOKEN = 4;

/** Returns two uniform numbers between 0 and 1 from the text's hash; the first is never 0, as its logarithm is taken. */
const hashToUniforms = (text: string): readonly [number, number] => {
  const digest = createHash("sha256").update(text).digest();
  return [
    (digest.readUInt32LE(0) + 1) / (UINT32_RANGE + 1),
    digest.readUInt32LE(4) / UINT32_RANGE,
  ];
};

/**
 * Returns the length of the answer to a prompt in tokens. It follows from the hash of seed and prompt, with a log-normal
 * distribution. A marker `[length=N]` in the prompt sets it, for tests and demonstrations.
 */
export const computeLength = (seed: number, prompt: string): number => {
  const marked = LENGTH_MARKER.exec(prompt)?.[1];
  if (marked !== undefined) return Math.max(1, Number(marked));
  const [u, v] = hashToUniforms(`${seed}\n${prompt}`);
  const normal = Math.sqrt(-2 * Math.log(u)) * Math.cos(2 * Math.PI * v);
  return Math.max(1, Math.round(MEDIAN_LENGTH * Math.exp(LENGTH_SPREAD * normal)));
};

/** Returns the token at an index. It depends on the generation id, so that tokens of another generation in an answer are noticed. */
export const generateToken = (id: GenerationId, index: number): string => {
  const start = id.charCodeAt(0) + 31 * id.charCodeAt(id.length - 1);
  const stride = 1 + (id.charCodeAt(id.length >> 1) % (WORDS.length - 1));
  const word = WORDS[(start + index * stride) % WORDS.length] ?? "";
  return index === 0 ? word : ` ${word}`;
};

/** Returns hash and length of the start of a prompt, which later prompts may share. */
export const findPrefix = (
  request: StartRequest,
): Readonly<{ hash: string; tokens: number }> => {
  const text = request.prompt.slice(0, PREFIX_CHARACTERS);
  const hash = createHash("sha256").update(text).digest("hex").slice(0, 16);
  const tokens = Math.min(
    request.promptTokens,
    Math.ceil(text.length / CHARACTERS_PER_TOKEN),
  );
  return { hash, tokens };
};
