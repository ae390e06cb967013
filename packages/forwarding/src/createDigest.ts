/** The digest of one admitted request, worked out when it is first asked for: hardly any request ever needs one. */
import { hashRequest, type RequestDigest } from "@stairgauge/crashes";
import type { AdmittedRequest } from "./forwarderTypes.js";

/** Creates the function that gives the digest. */
export const createDigest = ({
  head,
  body,
  workspace,
}: Pick<AdmittedRequest, "head" | "body" | "workspace">): (() => RequestDigest) => {
  let digest: RequestDigest | undefined;
  return () => {
    const { host, target } = head;
    digest ??= hashRequest({ host, target, caller: workspace?.name, body });
    return digest;
  };
};
