/** Lists the suspects of an admitted request, each kind on first use: hardly any request needs the whole one. */
import {
  listPartSuspects,
  listSuspects,
  type PartSuspect,
  type Suspect,
} from "@stairgauge/crashes";
import type { AdmittedRequest } from "./admittedRequest.js";

/** The suspects of one request. */
export type CallSuspects = Readonly<{
  /** All of them; the first one is the whole request, whose body has to be hashed. */
  listAll: () => readonly [Suspect, ...PartSuspect[]];
  /** The parts of the prompt that are suspects. */
  listParts: () => readonly PartSuspect[];
}>;

/** Creates the lists. */
export const createSuspects = ({
  head,
  body,
  workspace,
  service,
}: Pick<AdmittedRequest, "head" | "body" | "workspace" | "service">): CallSuspects => {
  const { host, target, promptParts: parts } = head;
  let all: readonly [Suspect, ...PartSuspect[]] | undefined;
  let ofPrompt: readonly PartSuspect[] | undefined;
  return {
    listAll: () => {
      const caller = workspace?.name;
      all ??= listSuspects({ host, target, caller, body, service, parts });
      return all;
    },
    listParts: () => {
      ofPrompt ??= listPartSuspects({ service, parts });
      return ofPrompt;
    },
  };
};
