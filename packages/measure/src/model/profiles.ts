/** Sites and traffic of two users. The sizes of their engines are assumptions. */
import type { Profile } from "./types.js";

const ENGINE = {
  memoryTokens: 24_000,
  maxRunning: 64,
  stepBaseMs: 12,
  stepPerStreamMs: 0.25,
  prefillPerTokenMs: 0.04,
  prefillChunkTokens: 512,
  prefixCacheTokens: 4_096,
} as const;

const WORKSPACES = [40, 20, 10, 8, 6, 5, 4, 3, 2, 2].map((weight, i) => ({
  name: `workspace-${i + 1}`,
  weight,
}));

const TIERS = [
  { name: "gold", rank: 0, firstTokenDeadlineMs: 10_000 },
  { name: "silver", rank: 1, firstTokenDeadlineMs: 20_000 },
  { name: "bronze", rank: 2, firstTokenDeadlineMs: 60_000 },
] as const;

const getSteadyRate = () => 1;

/** Ad drafts for sellers, verdicts on long prompts for moderators, and drafts for small sellers on the lowest tier. */
const KERLANN: Profile = {
  name: "kerlann",
  engines: 6,
  engine: ENGINE,
  maxOutputTokens: 4_000,
  tiers: TIERS,
  workspaces: WORKSPACES,
  kinds: [
    {
      kind: "ad-draft",
      tier: "gold",
      share: 0.5,
      promptMedian: 250,
      promptSpread: 0.5,
      outputMedian: 250,
      outputSpread: 0.9,
      prefixTokens: 120,
      rate: getSteadyRate,
    },
    {
      kind: "verdict",
      tier: "silver",
      share: 0.3,
      promptMedian: 1_500,
      promptSpread: 0.5,
      outputMedian: 40,
      outputSpread: 0.8,
      prefixTokens: 400,
      rate: getSteadyRate,
    },
    {
      kind: "small-seller-draft",
      tier: "bronze",
      share: 0.2,
      promptMedian: 250,
      promptSpread: 0.5,
      outputMedian: 300,
      outputSpread: 1.1,
      prefixTokens: 120,
      rate: getSteadyRate,
    },
  ],
};

const RUSH_START = 0.3;
const RUSH_END = 0.5;
const RUSH_RATE = 2;
const QUIET_RATE = 0.75;

/** Rate factor: twice the mean for a fifth of the run, less otherwise; 1 on average. */
const getRushRate = (elapsed: number) =>
  elapsed >= RUSH_START && elapsed < RUSH_END ? RUSH_RATE : QUIET_RATE;

/** Chats with patients, which have a Monday rush, long summaries by nurses, and letters. */
const TURNOS: Profile = {
  name: "turnos",
  engines: 6,
  engine: ENGINE,
  maxOutputTokens: 4_000,
  tiers: TIERS,
  workspaces: WORKSPACES,
  kinds: [
    {
      kind: "chat",
      tier: "gold",
      share: 0.7,
      promptMedian: 500,
      promptSpread: 0.7,
      outputMedian: 110,
      outputSpread: 0.8,
      prefixTokens: 200,
      rate: getRushRate,
    },
    {
      kind: "summary",
      tier: "silver",
      share: 0.2,
      promptMedian: 1_500,
      promptSpread: 0.5,
      outputMedian: 600,
      outputSpread: 0.8,
      prefixTokens: 200,
      rate: getSteadyRate,
    },
    {
      kind: "letter",
      tier: "bronze",
      share: 0.1,
      promptMedian: 400,
      promptSpread: 0.5,
      outputMedian: 300,
      outputSpread: 1,
      prefixTokens: 100,
      rate: getSteadyRate,
    },
  ],
};

/** The profiles by name. */
export const PROFILES = { kerlann: KERLANN, turnos: TURNOS } as const;
