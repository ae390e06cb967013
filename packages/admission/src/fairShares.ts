/**
 * Usage of workspaces and subjects, for max-min fairness among those that wait: the one with the
 * least usage goes first. Usage only orders what waits; nothing is held back for it.
 *
 * Load: one workspace sends many times what another of the same tier sends. In order of arrival each
 * gets capacity in proportion to what it sends, so the small one loses as large a share of its
 * requests as the large one.
 *
 * Pure but for the times passed in.
 */
import { dropOldest, type Ms } from "@stairgauge/common";
import {
  MAX_ACCOUNTS,
  MAX_CREDIT_MS,
  REFUSED_COST_SHARE,
  USAGE_HALF_LIFE_MS,
} from "./constants.js";
import type { Charge, Sharer } from "./types.js";

/** Decayed usage, in units of cost. */
export type Usage = Readonly<{ workspace: number; subject: number }>;

/** Usage of the workspaces and subjects of all services. */
export type FairShares = Readonly<{
  /** Charges an attempt that takes capacity. */
  charge: (charge: Charge, now: Ms) => void;
  /**
   * Charges a refused attempt. It is charged to the subject only: workspaces share by the capacity
   * that they use.
   */
  chargeRefused: (charge: Charge, now: Ms) => void;
  /**
   * Negative if `a` goes before `b`, 0 if order of arrival decides. Both must be of the same service
   * and tier.
   */
  compare: (a: Sharer, b: Sharer, now: Ms) => number;
  getUsage: (sharer: Sharer, now: Ms) => Usage;
  /** Number of workspaces and subjects kept. */
  count: () => number;
}>;

/** Options of the shares. */
export type FairSharesOptions = Readonly<{
  /** Largest number of workspaces and subjects kept; the least recently used are evicted. */
  maxAccounts?: number;
}>;

/** Usage is stored as of `epoch`: all of it decays alike, so that comparing needs no decay. */
type Account = { usage: number; chargedAt: number };

/** The workspaces of one service and tier. */
type Pool = {
  /** Workspaces charged since about `MAX_CREDIT_MS`. */
  active: Map<string, Account>;
  /** Largest usage among the active workspaces. */
  level: number;
  /** What was charged to all workspaces. */
  spent: number;
  /** Largest charge; like usage, it decays. */
  largest: number;
  listedAt: number;
};

const DECAY_MS = USAGE_HALF_LIFE_MS / Math.LN2;

/** Age of the epoch, in decay times, at which usage is converted to a new one, far from the limits of numbers. */
const MAX_EPOCH_AGE = 200;

/** Keys of the maps below. */
type Keys = Readonly<{ pool: string; workspace: string; subject: string }>;

const makeKeys = ({ service, tier, workspace, subject }: Sharer): Keys => {
  const pool = `${service}\n${tier}`;
  const ofWorkspace = `${pool}\n${workspace}`;
  return { pool, workspace: ofWorkspace, subject: `${ofWorkspace}\n${subject}` };
};

/** Creates shares without any usage. */
export const createFairShares = ({
  maxAccounts = MAX_ACCOUNTS,
}: FairSharesOptions = {}): FairShares => {
  /** Accounts and pools, least recently charged first. */
  const accounts = new Map<string, Account>();
  const pools = new Map<string, Pool>();
  /** Keys of requests: a request that waits is compared many times. */
  const keysOf = new WeakMap<Sharer, Keys>();
  let epoch = 0;

  const getKeys = (sharer: Sharer): Keys => {
    const known = keysOf.get(sharer);
    if (known) return known;
    const keys = makeKeys(sharer);
    keysOf.set(sharer, keys);
    return keys;
  };
  const getScale = (now: number) => Math.exp((now - epoch) / DECAY_MS);
  const advanceEpoch = (now: number) => {
    if (now - epoch < MAX_EPOCH_AGE * DECAY_MS) return;
    const factor = Math.exp((epoch - now) / DECAY_MS);
    for (const account of accounts.values()) account.usage *= factor;
    for (const pool of pools.values()) {
      pool.level *= factor;
      pool.spent *= factor;
      pool.largest *= factor;
    }
    epoch = now;
  };

  const openAccount = (key: string, now: number): Account => {
    const account = accounts.get(key) ?? { usage: 0, chargedAt: now };
    accounts.delete(key);
    accounts.set(key, account);
    account.chargedAt = now;
    return account;
  };
  const openPool = (key: string, now: number): Pool => {
    const pool = pools.get(key) ?? {
      active: new Map<string, Account>(),
      level: 0,
      spent: 0,
      largest: 0,
      listedAt: now,
    };
    pools.delete(key);
    pools.set(key, pool);
    if (now - pool.listedAt >= MAX_CREDIT_MS) listActive(pool, now);
    return pool;
  };
  const listActive = (pool: Pool, now: number) => {
    pool.listedAt = now;
    pool.level = 0;
    for (const [key, { chargedAt, usage }] of pool.active)
      if (now - chargedAt > MAX_CREDIT_MS) pool.active.delete(key);
      else pool.level = Math.max(pool.level, usage);
  };

  /**
   * Least usage that a workspace counts with. Without it, a workspace that was idle would go before
   * all others until it has caught up, for several seconds. One more than the active workspaces
   * share, as the one in question may not be active. The credit is at least two charges: below
   * that, a workspace with small requests would wait for one with large ones after each of its own.
   */
  const computeFloor = (pool: Pool | undefined): number => {
    if (!pool) return 0;
    const credit = (pool.spent * MAX_CREDIT_MS) / DECAY_MS / (pool.active.size + 1);
    return Math.max(0, pool.level - Math.max(credit, 2 * pool.largest));
  };
  const getWorkspaceUsage = (keys: Keys): number =>
    Math.max(
      accounts.get(keys.workspace)?.usage ?? 0,
      computeFloor(pools.get(keys.pool)),
    );
  const getSubjectUsage = (keys: Keys): number => accounts.get(keys.subject)?.usage ?? 0;

  return {
    charge: (charged, now) => {
      advanceEpoch(now);
      const cost = charged.cost * getScale(now);
      const keys = makeKeys(charged);
      const pool = openPool(keys.pool, now);
      const floor = computeFloor(pool);
      const workspace = openAccount(keys.workspace, now);
      workspace.usage = Math.max(workspace.usage, floor) + cost;
      openAccount(keys.subject, now).usage += cost;
      if (pool.active.size < maxAccounts) pool.active.set(keys.workspace, workspace);
      pool.level = Math.max(pool.level, workspace.usage);
      pool.spent += cost;
      pool.largest = Math.max(pool.largest, cost);
      dropOldest(accounts, maxAccounts);
      dropOldest(pools, maxAccounts);
    },
    chargeRefused: (charged, now) => {
      advanceEpoch(now);
      const cost = charged.cost * REFUSED_COST_SHARE * getScale(now);
      openAccount(makeKeys(charged).subject, now).usage += cost;
      dropOldest(accounts, maxAccounts);
    },
    compare: (a, b) => {
      const [first, second] = [getKeys(a), getKeys(b)];
      const difference =
        first.workspace === second.workspace
          ? 0
          : getWorkspaceUsage(first) - getWorkspaceUsage(second);
      if (difference !== 0 || first.subject === second.subject) return difference;
      return getSubjectUsage(first) - getSubjectUsage(second);
    },
    getUsage: (sharer, now) => {
      const keys = getKeys(sharer);
      const scale = getScale(now);
      return {
        workspace: getWorkspaceUsage(keys) / scale,
        subject: getSubjectUsage(keys) / scale,
      };
    },
    count: () => accounts.size,
  };
};
