/** Parses one line of a box's log. */
import { Err, Ok, type Ms, type Result } from "@stairgauge/common";
import { z } from "zod";
import type { LineFault, LogLine } from "./types.js";

const lineSchema = z.looseObject({
  box: z.string(),
  at: z.number(),
  time: z.number().optional(),
  event: z.string(),
  request: z.string().optional(),
});

const parseObject = (text: string): Result<unknown, LineFault> => {
  try {
    return Ok(JSON.parse(text));
  } catch {
    return Err("broken_object");
  }
};

/** Parses a line. Text before the JSON object, such as a log collector's prefix, is ignored. */
export const parseLogLine = (text: string): Result<LogLine, LineFault> => {
  const start = text.indexOf("{");
  if (start < 0) return Err("no_object");
  const parsed = parseObject(text.slice(start));
  if (parsed.err) return Err(parsed.val);
  const line = lineSchema.safeParse(parsed.val);
  if (!line.success) return Err("foreign_object");
  const { box, at, time, event, request, ...fields } = line.data;
  return Ok({
    box,
    at: at as Ms,
    time: time as Ms | undefined,
    event,
    request,
    fields,
  });
};
