/** Runs the event source of the forwarding benchmark as a separate process. */
import { startUsersEventSource } from "@stairgauge/standins";

const [, , gapMs = "100"] = process.argv;
const { address } = await startUsersEventSource(Number(gapMs));
process.stdout.write(`source on ${address}\n`);
