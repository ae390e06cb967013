/** Reports estimates that have changed by more than half, at most a few per second. */
import { dropOldest, type BoxName } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { EVENTS_PER_SECOND, MAX_SERVERS, REPORTED_FACTOR } from "./constants.js";
import { MEASURES, type PaceRecord } from "./paceRecord.js";
import type { PaceEvent, PaceMeasure } from "./types.js";

type Reported = Partial<Record<PaceMeasure, number>>;

const SECOND_MS = 1_000;

/** Creates a limit that has reported nothing yet. */
export const createEventLimit = (onEvent: (event: PaceEvent) => void) => {
  const reported = new Map<ServerId, Reported>();
  let windowStart = -Infinity;
  let count = 0;

  const mayReport = (now: number): boolean => {
    if (now - windowStart >= SECOND_MS) {
      windowStart = now;
      count = 0;
    }
    count += 1;
    return count <= EVENTS_PER_SECOND;
  };
  const findReported = (server: ServerId): Reported => {
    const known = reported.get(server);
    if (known) return known;
    const added: Reported = {};
    reported.set(server, added);
    dropOldest(reported, MAX_SERVERS);
    return added;
  };

  return {
    /** A server's record has changed. */
    onRecord: ({
      server,
      record,
      now,
      by,
    }: Readonly<{
      server: ServerId;
      record: PaceRecord;
      now: number;
      by: BoxName | undefined;
    }>): void => {
      const known = findReported(server);
      for (const measure of MEASURES) {
        const track = record.tracks[measure];
        if (!track) continue;
        const after = Math.exp(track.logMean);
        const before = (known[measure] ??= after);
        const factor = Math.max(after / before, before / after);
        if (factor <= REPORTED_FACTOR || !mayReport(now)) continue;
        known[measure] = after;
        const { weight } = track;
        const ageMs = now - track.at;
        onEvent({
          kind: "pace_changed",
          server,
          measure,
          before,
          after,
          weight,
          ageMs,
          by,
        });
      }
    },
    drop: (server: ServerId): void => void reported.delete(server),
  };
};
