/** Polls the platform's head and adopts each higher version that has enough valid approvals. */
import {
  adoptHead,
  type ActiveBundle,
  type BundleHead,
  type HeadFailure,
  type SignOffRules,
} from "@stairgauge/bundle";
import {
  createPoller,
  Err,
  type Clock,
  type Ms,
  type Poller,
  type Result,
} from "@stairgauge/common";
import type { Platform, ReadFailure } from "@stairgauge/stores";
import { decodeHead, HEAD_ROW, toObjectName } from "./headRecord.js";

/** Why a new head could not be read or adopted. */
export type WatchFailure = Readonly<
  | HeadFailure
  | ReadFailure
  | { kind: "malformed_head" }
  | { kind: "content_missing"; digest: string }
>;

export type HeadWatcherOptions = Readonly<{
  platform: Platform;
  rules: SignOffRules;
  clock: Clock;
  /** Time between two reads of the head. */
  interval: Ms;
  onAdopted: (active: ActiveBundle) => void;
  onFailure: (failure: WatchFailure) => void;
}>;

/** Polls the head while it is started. */
export type HeadWatcher = Poller &
  Readonly<{
    /** Reads the head once; resolves to true if a new bundle was adopted. */
    checkHead: () => Promise<boolean>;
  }>;

/** Creates a watcher that has adopted no bundle yet. */
export const createHeadWatcher = (options: HeadWatcherOptions): HeadWatcher => {
  const { platform, rules, clock } = options;
  let version = 0;

  const readContent = async (
    head: BundleHead,
  ): Promise<Result<ActiveBundle, WatchFailure>> => {
    const content = await platform.objects.read(toObjectName(head.digest));
    if (content.err) return content;
    if (content.val === undefined)
      return Err({ kind: "content_missing", digest: head.digest });
    return adoptHead({ currentVersion: version, head, content: content.val, rules });
  };

  const checkHead = async (): Promise<boolean> => {
    const row = await platform.table.read(HEAD_ROW);
    if (row.err) {
      options.onFailure(row.val);
      return false;
    }
    if (row.val === undefined) return false;
    const head = decodeHead(row.val.value);
    if (!head) {
      options.onFailure({ kind: "malformed_head" });
      return false;
    }
    if (head.version <= version) return false;
    const adopted = await readContent(head);
    if (adopted.err) {
      options.onFailure(adopted.val);
      return false;
    }
    version = adopted.val.head.version;
    options.onAdopted(adopted.val);
    return true;
  };

  const poller = createPoller({ clock, interval: options.interval, poll: checkHead });
  return { checkHead, ...poller };
};
