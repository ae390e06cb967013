/** Creates API keys for workspaces and signing keys for operators. */
import { generateKeyPairSync, randomBytes } from "node:crypto";
import { hashKey } from "@stairgauge/bundle";
import type { Output } from "./output.js";

const KEY_BYTES = 32;

/** Creates a random workspace key and its hash for the bundle. */
export const createWorkspaceKey = (): Output => {
  const key = `sg-${randomBytes(KEY_BYTES).toString("base64url")}`;
  const keyHash = hashKey(key);
  const text = `key (give it to the workspace, it is kept nowhere): ${key}\nkeyHashes entry for the bundle: ${keyHash}\n`;
  return { json: { key, keyHash }, text };
};

/** Creates an operator's Ed25519 key pair in PEM format. */
export const createOperatorKey = (): Output => {
  const pair = generateKeyPairSync("ed25519", {
    publicKeyEncoding: { type: "spki", format: "pem" },
    privateKeyEncoding: { type: "pkcs8", format: "pem" },
  });
  return { json: pair, text: `${pair.privateKey}${pair.publicKey}` };
};
