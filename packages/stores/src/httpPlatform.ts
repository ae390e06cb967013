/** HTTP clients of the platform's table service, object store and box list. */
import { Agent, type Dispatcher } from "undici";
import type { z } from "zod";
import { Err, Ok, type Result } from "@stairgauge/common";
import { toLinkFailure } from "@stairgauge/http";
import type { Platform, ReadFailure, Row, RowWrite, WriteFailure } from "./types.js";
import { boxesSchema, rowSchema, writeResultsSchema } from "./wire.js";

const CONNECT_TIMEOUT_MS = 1_000;
const RESPONSE_TIMEOUT_MS = 3_000;
const MAX_RESPONSE_BYTES = 64 * 1024 * 1024;
const CONNECTIONS_PER_STORE = 8;
const NOT_FOUND_STATUS = 404;
const UNAVAILABLE_STATUS = 503;
const OK_STATUS = 200;

/** Addresses of the platform's services, as IP:PORT. */
export type PlatformAddresses = Readonly<{
  table: string;
  objects: string;
  boxes: string;
}>;

type StoreRequest = Readonly<{
  address: string;
  path: string;
  method: "GET" | "PUT" | "POST";
  body?: string;
}>;

type Answer = Readonly<{ status: number; text: string }>;

const toReadFailure = (detail: string): ReadFailure => ({
  kind: "store_unavailable",
  detail,
});

const parseAs = <T>(schema: z.ZodType<T>, text: string): T | undefined => {
  try {
    return schema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
};

const createStoreClient = () => {
  const agent: Dispatcher = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: RESPONSE_TIMEOUT_MS,
    bodyTimeout: RESPONSE_TIMEOUT_MS,
    maxResponseSize: MAX_RESPONSE_BYTES,
    connections: CONNECTIONS_PER_STORE,
  });
  const send = async (request: StoreRequest): Promise<Answer> => {
    const response = await agent.request({
      origin: `http://${request.address}`,
      path: request.path,
      method: request.method,
      body: request.body ?? null,
      headers: request.body === undefined ? {} : { "content-type": "application/json" },
    });
    return { status: response.statusCode, text: await response.body.text() };
  };

  /** Sends a read; the result is undefined if the store answers 404. */
  const read = async <T>(
    request: StoreRequest,
    decode: (text: string) => T | undefined,
  ): Promise<Result<T | undefined, ReadFailure>> => {
    try {
      const answer = await send(request);
      if (answer.status === NOT_FOUND_STATUS) return Ok(undefined);
      if (answer.status !== OK_STATUS)
        return Err(toReadFailure(`status ${answer.status}`));
      const value = decode(answer.text);
      return value === undefined
        ? Err(toReadFailure("the answer does not match the schema"))
        : Ok(value);
    } catch (error) {
      return Err(toReadFailure(JSON.stringify(toLinkFailure(error))));
    }
  };

  /** Sends a write. Fails with `store_unavailable` if it had no effect, with `answer_lost` if it may have had one. */
  const write = async <T>(
    request: StoreRequest,
    decode: (text: string) => T | undefined,
  ): Promise<Result<T, WriteFailure>> => {
    try {
      const answer = await send(request);
      if (answer.status === UNAVAILABLE_STATUS) {
        return Err({ kind: "store_unavailable", detail: "the store answered 503" });
      }
      const value = answer.status === OK_STATUS ? decode(answer.text) : undefined;
      if (value !== undefined) return Ok(value);
      return Err({ kind: "answer_lost", detail: `status ${answer.status}` });
    } catch (error) {
      const failure = toLinkFailure(error);
      const detail = "detail" in failure ? failure.detail : failure.kind;
      const kind =
        failure.kind === "connect_failed" ? "store_unavailable" : "answer_lost";
      return Err({ kind, detail });
    }
  };

  return { read, write, close: () => agent.destroy() };
};

/** Creates clients for the platform's services. */
export const createHttpPlatform = (addresses: PlatformAddresses): Platform => {
  const client = createStoreClient();

  const writeBatch = async (
    writes: readonly RowWrite[],
  ): Promise<readonly Result<Row, WriteFailure>[]> => {
    const answer = await client.write(
      {
        address: addresses.table,
        path: "/table/v1/writes",
        method: "POST",
        body: JSON.stringify({ writes }),
      },
      (text) => {
        const results = parseAs(writeResultsSchema, text)?.results;
        return results?.length === writes.length ? results : undefined;
      },
    );
    if (answer.err) return writes.map(() => answer);
    return answer.val.map((result) =>
      result.kind === "written"
        ? Ok(result.row)
        : Err({ kind: "conflict" as const, current: result.current }),
    );
  };

  return {
    table: {
      read: ({ table, key }) =>
        client.read(
          {
            address: addresses.table,
            path: `/table/v1/rows/${encodeURIComponent(table)}/${encodeURIComponent(key)}`,
            method: "GET",
          },
          (text) => parseAs(rowSchema, text),
        ),
      write: async (write) => {
        const [result] = await writeBatch([write]);
        return (
          result ?? Err({ kind: "answer_lost", detail: "the answer contains no result" })
        );
      },
      writeBatch,
    },
    objects: {
      read: (name) =>
        client.read(
          {
            address: addresses.objects,
            path: `/objects/v1/${encodeURIComponent(name)}`,
            method: "GET",
          },
          (text) => text,
        ),
      write: async (name, content) => {
        const path = `/objects/v1/${encodeURIComponent(name)}`;
        const request: StoreRequest = {
          address: addresses.objects,
          path,
          method: "PUT",
          body: content,
        };
        const answer = await client.write(request, () => true);
        return answer.err ? answer : Ok(undefined);
      },
    },
    boxes: {
      read: async () => {
        const request: StoreRequest = {
          address: addresses.boxes,
          path: "/boxes/v1",
          method: "GET",
        };
        const answer = await client.read(
          request,
          (text) => parseAs(boxesSchema, text)?.servers,
        );
        return answer.err ? answer : Ok(answer.val ?? []);
      },
    },
    close: async () => {
      await client.close();
    },
  };
};
