/** Guards against continuing a stream at a server of another software version than the one that began it. */
import { describe, expect, it } from "vitest";
import type { Ms, ServiceName } from "@stairgauge/common";
import type { BackendServer, SoftwareVersion } from "@stairgauge/directory";
import { deriveBinding, fitsBinding } from "./streamBinding.js";

const makeServer = (version: string | undefined, service = "writers"): BackendServer =>
  ({
    entry: {
      service: service as ServiceName,
      softwareVersion: version as SoftwareVersion | undefined,
      warmUpLeft: 0 as Ms,
    },
  }) as BackendServer;

const begin = (version: string | undefined) =>
  deriveBinding(makeServer(version), makeServer(version));

describe("the binding of a stream", () => {
  it.each([
    ["the same version", makeServer("v1"), true],
    ["another version", makeServer("v1.2"), false],
    ["no stated version", makeServer(undefined), false],
    ["the same version of another service", makeServer("v1", "others"), false],
  ])("decides about a server of %s", (_, server, fits) => {
    expect(fitsBinding(server, begin("v1"))).toBe(fits);
  });

  it("lets any server begin a stream that has none", () => {
    expect(fitsBinding(makeServer("v1"), undefined)).toBe(true);
    expect(fitsBinding(makeServer(undefined), undefined)).toBe(true);
  });

  it("fits no server if the entry of the one that began the stream has come to name another version", () => {
    const binding = deriveBinding(makeServer("v1"), makeServer("v1.2"));
    expect(fitsBinding(makeServer("v1"), binding)).toBe(false);
    expect(fitsBinding(makeServer("v1.2"), binding)).toBe(false);
  });

  it("fits no server if the version that began the stream is not stated, also not one without", () => {
    expect(fitsBinding(makeServer(undefined), begin(undefined))).toBe(false);
  });

  it("stays when the server that began the stream is no longer listed", () => {
    expect(deriveBinding(makeServer("v1"), undefined).softwareVersion).toBe("v1");
  });
});
