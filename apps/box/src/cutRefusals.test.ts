/**
 * Guards against a cut refusal that is passed on as complete. Every server of a route refuses a
 * request, and the last one is killed within the body of its refusal, which has neither length
 * nor chunks. The head alone shows that the request did not run, so the box doesn't check
 * whether the body is complete. With no server left it must not pass on the half body with a
 * matching Content-Length.
 */
import { expect, it } from "vitest";
import type { EngineScript } from "@stairgauge/standins";
import { askPlain, sendAndLeave } from "./scripted.testkit.js";

const WHOLE = '{"reason":"full"}';
const HALF = WHOLE.slice(0, 8);

it.each([
  ["503 Service Unavailable", "Not-Executed: 1\r\n"],
  ["429 Too Many Requests", "Not-Executed: 1\r\n"],
])("a cut refusal is not passed on as complete: %s", async (status, extraHeaders) => {
  const refuseHalf: EngineScript = sendAndLeave(status, HALF, extraHeaders);
  const { body, isWhole } = await askPlain({}, [refuseHalf, refuseHalf]);
  expect({ body, isWhole }).not.toEqual({ body: HALF, isWhole: true });
});
