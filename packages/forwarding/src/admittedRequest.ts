/** A request that the forwarder has admitted. */
import type { Ms, ServiceName } from "@stairgauge/common";
import type { StreamBinding } from "@stairgauge/placement";
import type { Route, WorkspaceSpec } from "@stairgauge/routing";
import type { ClientAnswer } from "./clientAnswer.js";
import type { RequestHead } from "./types.js";

/** A request that passed access control. */
export type AdmittedRequest = Readonly<{
  head: RequestHead;
  body: Buffer;
  route: Route;
  workspace: WorkspaceSpec | undefined;
  service: ServiceName;
  /** What binds the stream that the client takes up; undefined for a request that begins anew. */
  binding: StreamBinding | undefined;
  receivedAt: Ms;
  /** Deadline of the final answer. */
  endsAt: Ms;
  answer: ClientAnswer;
}>;
