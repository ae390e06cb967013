/** Resolves model names of callers to the models and adapters that their workspace may use. */
import type { Model } from "@stairgauge/bundle";
import { Err, Ok, type Result } from "@stairgauge/common";
import type { ApiFailure } from "./apiError.js";
import type { Caller } from "./types.js";

/** A model, and an adapter if the name contains one. */
export type ResolvedModel = Readonly<{ model: Model; adapter: string | undefined }>;

/** Resolves a name of the form `MODEL`, `ADAPTER` or `MODEL:ADAPTER`. */
export const resolveModel = (
  name: string,
  { workspace, index }: Caller,
): Result<ResolvedModel, ApiFailure> => {
  const unknown = Err({ kind: "unknown_model" as const, model: name.slice(0, 100) });
  const plain = index.models.get(name);
  if (plain) {
    return workspace.models.includes(name)
      ? Ok({ model: plain, adapter: undefined })
      : unknown;
  }
  const [prefix = "", suffix] = name.split(":");
  const adapter = suffix ?? prefix;
  const model = index.adapterModels.get(adapter);
  if (!model || (suffix !== undefined && model.name !== prefix)) return unknown;
  const isGranted =
    workspace.adapters.includes(adapter) && workspace.models.includes(model.name);
  return isGranted ? Ok({ model, adapter }) : unknown;
};

/** All names of models and adapters that a caller may use. */
export const listModelNames = ({ workspace, index }: Caller): readonly string[] => [
  ...workspace.models,
  ...workspace.adapters.filter((adapter) => {
    const model = index.adapterModels.get(adapter);
    return model !== undefined && workspace.models.includes(model.name);
  }),
];
