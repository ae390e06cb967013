/** Reads the boxes from their rows in the platform's store. */
import {
  Err,
  Ok,
  type BoxName,
  type DataHallName,
  type Result,
} from "@stairgauge/common";
import type { FollowerSink, StoredRow } from "@stairgauge/storefeed";
import { z } from "zod";
import type { Peer } from "./types.js";

const MAX_PORT = 65_535;

const memberSchema = z.object({
  host: z.ipv4(),
  port: z.int().positive().max(MAX_PORT),
  capacity: z.number().positive().default(1),
  hall: z.string().optional(),
});

/** A row that does not describe a box. */
export type MemberFailure = Readonly<{ kind: "unreadable_member"; key: string }>;

/** Encodes the row of a box. */
export const encodeMember = ({ address, capacity, dataHall }: Peer): Buffer =>
  Buffer.from(
    JSON.stringify({ host: address.host, port: address.port, capacity, hall: dataHall }),
  );

/** Decodes the row of a box. */
export const decodeMember = (key: string, value: Buffer): Result<Peer, MemberFailure> => {
  try {
    const { capacity, hall, ...address } = memberSchema.parse(
      JSON.parse(value.toString("utf8")),
    );
    const dataHall = hall as DataHallName | undefined;
    return Ok({ box: key as BoxName, address, capacity, dataHall });
  } catch {
    return Err({ kind: "unreadable_member", key });
  }
};

/** Options of a member sink. */
export type MemberSinkOptions = Readonly<{
  /** Called with all boxes after each change of the table. */
  onMembers: (members: readonly Peer[]) => void;
  onUnreadable: (failure: MemberFailure) => void;
}>;

/** Creates the sink for a follower of the table of boxes. */
export const createMemberSink = (options: MemberSinkOptions): FollowerSink => {
  const members = new Map<string, Peer>();
  const put = (row: StoredRow) => {
    const decoded = decodeMember(row.key, row.value);
    if (decoded.ok) members.set(row.key, decoded.val);
    else options.onUnreadable(decoded.val);
  };
  const emitMembers = () => options.onMembers([...members.values()]);

  return {
    onWhole: (rows) => {
      // A box whose row can't be read stays where it was.
      const listed = new Set(rows.map(({ key }) => key));
      for (const key of [...members.keys()]) if (!listed.has(key)) members.delete(key);
      for (const row of rows) put(row);
      emitMembers();
    },
    onChanges: (changes) => {
      for (const change of changes) {
        if (change.kind === "put") put(change.row);
        else members.delete(change.key);
      }
      if (changes.length > 0) emitMembers();
    },
    onFailure: () => undefined,
    onRegained: () => undefined,
  };
};
