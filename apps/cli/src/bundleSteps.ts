/** The steps of the `stairgauge bundle` subcommands. */
import diff from "microdiff";
import {
  computeDigest,
  parseBundle,
  renderCanonical,
  type Bundle,
} from "@stairgauge/bundle";
import { Err, Ok, type Result } from "@stairgauge/common";
import type { HeadRecord } from "@stairgauge/rollout";
import { readBoxes } from "./readBoxes.js";
import type { CommandFailure } from "./failures.js";
import { readText, withSite, type Site } from "./openSite.js";
import { renderTable, type Output } from "./output.js";

type Step = Promise<Result<Output, CommandFailure>>;

const DIGEST_PATTERN = /^[0-9a-f]{64}$/;
const SHORT_DIGEST_LENGTH = 12;

const toOutput = (json: unknown, text: string): Output => ({ json, text });

const readBundleFile = (path: string): Result<Bundle, CommandFailure> => {
  const text = readText(path);
  return text.err ? text : parseBundle(text.val);
};

/** Validates a bundle file and shows its digest. */
export const validateBundle = (path: string): Result<Output, CommandFailure> =>
  readBundleFile(path).map((bundle) => {
    const digest = computeDigest(renderCanonical(bundle));
    const { workspaces, models, backendServers } = bundle;
    const counts = `${workspaces.length} workspaces, ${models.length} models, ${backendServers.length} backend servers`;
    return toOutput({ valid: true, digest }, `valid: ${counts}\ndigest ${digest}\n`);
  });

/** Reads a bundle by digest, by file, or the one that the stored head names (`active`). */
const findBundle = async (
  site: Site,
  name: string,
): Promise<Result<Bundle, CommandFailure>> => {
  if (DIGEST_PATTERN.test(name)) return site.flows.readBundle(name);
  if (name !== "active") return readBundleFile(name);
  const head = await site.flows.readHead();
  if (head.err) return head;
  return head.val ? site.flows.readBundle(head.val.digest) : Err({ kind: "no_bundle" });
};

const renderValue = (value: unknown): string =>
  value === undefined ? "-" : JSON.stringify(value).slice(0, 60);

/** Shows the differences between two bundles; each is a file, a digest or `active`. */
export const diffBundles = (settings: string, from: string, to: string): Step =>
  withSite(settings, async (site) => {
    const before = await findBundle(site, from);
    if (before.err) return before;
    const after = await findBundle(site, to);
    if (after.err) return after;
    const changes = diff(before.val as object, after.val as object).map((change) => ({
      change: change.type.toLowerCase(),
      path: change.path.join("."),
      from: "oldValue" in change ? renderValue(change.oldValue) : undefined,
      to: "value" in change ? renderValue(change.value) : undefined,
    }));
    return Ok(
      toOutput(changes, changes.length > 0 ? renderTable(changes) : "no difference\n"),
    );
  });

/** Proposes the bundle of a file as the given operator. */
export const proposeBundle = (settings: string, path: string, operator: string): Step =>
  withSite(settings, async ({ flows }) => {
    const bundle = readBundleFile(path);
    if (bundle.err) return bundle;
    const proposal = await flows.propose(bundle.val, operator);
    return proposal.map((stored) =>
      toOutput(
        stored,
        `proposed by ${stored.proposer}, ${stored.approvals.length} approvals\ndigest ${stored.digest}\n`,
      ),
    );
  });

/** Signs a proposed bundle with the operator's private key and stores the approval. */
export const approveBundle = (options: {
  readonly settings: string;
  readonly digest: string;
  readonly operator: string;
  readonly keyFile: string;
}): Step =>
  withSite(options.settings, async ({ flows }) => {
    const privateKey = readText(options.keyFile);
    if (privateKey.err) return privateKey;
    const operator = { name: options.operator, privateKey: privateKey.val };
    const proposal = await flows.approve(options.digest, operator);
    return proposal.map((approved) => {
      const names = approved.approvals.map((one) => one.operator).join(", ");
      return toOutput(approved, `approved by ${names}\n`);
    });
  });

/** Makes an approved bundle the next version. */
export const rollOutBundle = (settings: string, digest: string, operator: string): Step =>
  withSite(settings, async ({ flows }) => {
    const head = await flows.rollOut(digest, operator);
    return head.map((record) =>
      toOutput(
        record,
        `rolled out as version ${record.version}; see \`stairgauge bundle status\`\n`,
      ),
    );
  });

const readHead = async ({ flows }: Site): Promise<Result<HeadRecord, CommandFailure>> => {
  const head = await flows.readHead();
  if (head.err) return head;
  return head.val ? Ok(head.val) : Err({ kind: "no_bundle" });
};

/** Shows the version of the stored head, and how many boxes run each version. */
export const showStatus = (settings: string): Step =>
  withSite(settings, async (site) => {
    const head = await readHead(site);
    if (head.err) return head;
    const boxes = await readBoxes(site.settings.boxes);
    const counts = new Map<string, number>();
    for (const { bundleVersion } of boxes) {
      const version = bundleVersion === undefined ? "no answer" : String(bundleVersion);
      counts.set(version, (counts.get(version) ?? 0) + 1);
    }
    const { version, digest, by } = head.val;
    const rows = [...counts].map(([inForce, count]) => ({
      "version in force": inForce,
      boxes: count,
    }));
    const text = `head: version ${version} (${digest.slice(0, SHORT_DIGEST_LENGTH)}), rolled out by ${by}\n`;
    return Ok(toOutput({ head: head.val, boxes }, text + renderTable(rows)));
  });

/** Lists the current version and the past ones, newest first. */
export const showHistory = (settings: string): Step =>
  withSite(settings, async (site) => {
    const head = await readHead(site);
    if (head.err) return head;
    const { version, digest, by, at, past } = head.val;
    const rows = [{ version, digest, by, at }, ...past].map((one) => ({
      ...one,
      at: new Date(one.at).toISOString(),
    }));
    return Ok(toOutput(rows, renderTable(rows)));
  });

/** Shows the content of a bundle; `name` is `active`, a digest or a file. */
export const showBundle = (settings: string, name: string): Step =>
  withSite(settings, async (site) => {
    const bundle = await findBundle(site, name);
    return bundle.map((content) =>
      toOutput(content, `${JSON.stringify(content, null, 2)}\n`),
    );
  });
