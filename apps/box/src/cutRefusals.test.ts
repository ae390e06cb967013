/**
 * Every server of a route refuses a request, and the last one's process is killed within the body of its refusal, which has
 * neither a length nor chunks. The box asks nobody whether that answer is whole, since its head alone says that the request
 * did not run; but with no server left to ask it passes the body on, and puts the length of the half in front: an answer
 * that ended early looks complete to its client.
 */
import { expect, it } from "vitest";
import type { EngineScript } from "@stairgauge/standins";
import { askPlain, sendAndLeave } from "./scripted.testkit.js";

const WHOLE = '{"reason":"full"}';
const HALF = WHOLE.slice(0, 8);

it.each([
  ["503 Service Unavailable", "Not-Executed: 1\r\n"],
  ["429 Too Many Requests", "Not-Executed: 1\r\n"],
])("half of a refusal is not passed on as whole: %s", async (status, more) => {
  const refuseHalf: EngineScript = sendAndLeave(status, HALF, more);
  const { body, isWhole } = await askPlain({}, [refuseHalf, refuseHalf]);
  expect({ body, isWhole }).not.toEqual({ body: HALF, isWhole: true });
});
