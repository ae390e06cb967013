/** Reads the settings of the daemon with the certificate that they name. */
import { readFileSync } from "node:fs";
import { createSecureContext } from "node:tls";
import { Err, Ok, type Result } from "@stairgauge/common";
import type { TlsIdentity } from "@stairgauge/http";
import { parseSettings, type Settings, type SettingsFailure } from "@stairgauge/settings";

/** Settings, and the certificate with its key if they name one. */
export type LoadedSettings = Readonly<{
  settings: Settings;
  tls: TlsIdentity | undefined;
}>;

type Attempt<T> = Result<T, SettingsFailure>;

const attempt = <T>(path: string, run: () => T): Attempt<T> => {
  try {
    return Ok(run());
  } catch (error) {
    const expected = error instanceof Error ? error.message : "unreadable";
    return Err({ kind: "invalid_settings", faults: [{ path, expected }] });
  }
};

const loadTls = (files: NonNullable<Settings["tls"]>): Attempt<TlsIdentity> => {
  const cert = attempt("tls.certFile", () => readFileSync(files.certFile, "utf8"));
  if (cert.err) return cert;
  const key = attempt("tls.keyFile", () => readFileSync(files.keyFile, "utf8"));
  if (key.err) return key;
  return attempt("tls", () => {
    const identity = { cert: cert.val, key: key.val };
    // Throws unless both are whole and belong together.
    createSecureContext(identity);
    return identity;
  });
};

/** Parses the settings and reads the files that they name; fails unless a daemon can run with all of it. */
export const loadSettings = (text: string): Attempt<LoadedSettings> => {
  const parsed = parseSettings(text);
  if (parsed.err) return parsed;
  const settings = parsed.val;
  if (!settings.tls) return Ok({ settings, tls: undefined });
  const tls = loadTls(settings.tls);
  return tls.err ? tls : Ok({ settings, tls: tls.val });
};
