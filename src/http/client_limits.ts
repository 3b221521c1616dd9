/**
 * Limits on what clients may make a process hold: requests that are sent ahead,
 * answers that are not read, and connections. They are for clients that are not
 * under control: a few connections that send requests without end and read no
 * answers would otherwise fill the memory of the process.
 * @module
 */
import { z } from "zod";

/** Schema of the limits, which apply to the HTTP servers of a process. */
export const clientLimitsSchema = z.strictObject({
  max_requests_ahead: z.number().int().min(2).default(16)
    .describe(
      "Requests of one connection that are handled at the same time; later " +
        "ones are read once earlier ones are answered",
    ),
  max_unsent_bytes: z.number().int().min(1).default(16 * 1024)
    .describe(
      "Unsent bytes of answers with which no further request of the " +
        "connection is read; larger answers are sent whole",
    ),
  max_pending_requests: z.number().int().min(1).default(256)
    .describe(
      "Requests of all connections that are handled at the same time, beyond " +
        "which each connection has one at a time",
    ),
  max_ahead_bytes: z.number().int().min(1).default(256 * 1024)
    .describe(
      "Bytes of answers to requests that a client sent before the answers to " +
        "earlier ones, without a pause; then its connection is closed after " +
        "the pending answers",
    ),
  max_buffered_bytes: z.number().int().min(1).default(32 * 1024 * 1024)
    .describe(
      "Unread and unsent bytes of all connections, those in the system's " +
        "buffers included, beyond which connections are closed whose clients " +
        "send ahead or read nothing",
    ),
  max_connections: z.number().int().min(1).default(768)
    .describe(
      "Open connections from callers, beyond which one that is idle or holds " +
        "much is closed for a new one, or the first request of the new one is " +
        "refused",
    ),
  max_other_connections: z.number().int().min(1).default(32)
    .describe("The same for each other port of a process"),
});

/** Limits on what clients may make a process hold. */
export type ClientLimits = z.infer<typeof clientLimitsSchema>;

/** The limits of a process without settings for them. */
export const DEFAULT_CLIENT_LIMITS: ClientLimits = clientLimitsSchema.parse({});
