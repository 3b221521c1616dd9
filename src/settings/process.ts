/**
 * Schema of the settings of a process.
 * @module
 */
import { z } from "zod";
import { clientLimitsSchema } from "../http/client_limits.ts";
import { isAddress } from "../network/channel.ts";

/** Schema of an IP address with a port. */
export const addressSchema = z.string().refine(isAddress, {
  message: "an IP address and port, such as 10.0.0.1:7000",
});

/** Settings of the `node` role. */
const nodeRoleSchema = z.strictObject({
  caller_address: addressSchema.describe(
    "Listen address for callers' HTTP requests",
  ),
  peer_address: addressSchema
    .describe("Listen address for attempts from other nodes"),
  local_address: addressSchema
    .describe(
      "Listen address for announcements of the backend server on this VM",
    ),
});

/** Settings of the administration API of a control replica. */
const adminSchema = {
  admin_address: addressSchema.optional()
    .describe("Listen address of the administration API"),
  token_file: z.string().optional()
    .describe("File with one `operator token [team ...]` on each line"),
};

/** Settings of the `control` role. */
const controlRoleSchema = z.strictObject({
  rpc_address: addressSchema.describe(
    "Listen address for RPCs from nodes and replicas",
  ),
  ...adminSchema,
  metrics_address: addressSchema.optional()
    .describe("Listen address of the replica's metrics"),
  data: z.string().describe("Data directory"),
  founders: z.record(z.string(), addressSchema)
    .describe("VM names and RPC addresses of the initial replicas"),
  may_found: z.boolean().default(true)
    .describe(
      "Whether an initial replica with an empty disk may form a new cluster",
    ),
}).refine((role) => !role.admin_address || role.token_file, {
  message: "a token file, because the admin address is set",
  path: ["token_file"],
});

/** Schema of the settings of a process. */
export const processSchema = z.strictObject({
  vm: z.string().min(1).describe("Name of the VM"),
  domain: z.string().min(1).describe("Failure domain of the VM"),
  region: z.string().min(1).default("default").describe("Region of the VM"),
  control_addresses: z.array(addressSchema).min(1)
    .describe("RPC addresses of some or all control replicas"),
  node: nodeRoleSchema.optional(),
  control: controlRoleSchema.optional(),
  clients: clientLimitsSchema.optional(),
}).refine((value) => value.node || value.control, {
  message: "at least one of the tables [node] and [control]",
  path: ["node"],
});

/** Settings of a process. */
export type ProcessSettings = z.infer<typeof processSchema>;
