/** Times the prompts of this and other boxes' runs by the changes of the load registry. */
import type { Clock, ServiceName } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import type { ReadingTimer } from "@stairgauge/pace";
import type { RunChange } from "@stairgauge/placement";

/** Dependencies of the observer. */
export type PromptObserverOptions = Readonly<{
  clock: Pick<Clock, "monotonic">;
  timer: ReadingTimer;
  /** Returns the service of a listed server. */
  findService: (server: ServerId) => ServiceName | undefined;
}>;

/**
 * Creates a handler for the changes of a load registry, own ones and those of other boxes. Runs
 * without a prompt are no generations.
 */
export const observePrompts =
  ({ clock, timer, findService }: PromptObserverOptions) =>
  ({ server, id, run }: RunChange): void => {
    const now = clock.monotonic();
    if (!run) {
      timer.onEnded(server, id);
      return;
    }
    if (run.hasBegun) {
      timer.onBegun(server, id, now);
      return;
    }
    const { promptTokens } = run;
    const service = findService(server);
    if (promptTokens > 0 && service !== undefined)
      timer.onPlaced({ server, service, id, promptTokens }, now);
  };
