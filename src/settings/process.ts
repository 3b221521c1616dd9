/**
 * The schema of one process's own settings.
 * @module
 */
import { isIP } from "node:net";
import { z } from "zod";
import { splitAddress } from "../network/channel.ts";

const MAX_PORT = 65_535;

function isAddress(text: string): boolean {
  const { host, port } = splitAddress(text);
  const validPort = Number.isInteger(port) && port >= 0 && port <= MAX_PORT;
  return isIP(host) !== 0 && validPort;
}

/** An IP address and a port. */
export const addressSchema = z.string().refine(isAddress, {
  message: "an IP address and port, such as 10.0.0.1:7000",
});

/** Addresses of the `node` role. */
const nodeRoleSchema = z.strictObject({
  caller_address: addressSchema.describe("Where callers' HTTP is taken"),
  peer_address: addressSchema
    .describe("Where other nodes' attempts are taken"),
  local_address: addressSchema
    .describe("Where the backend server of this VM announces itself"),
});

/** The administration API of a control replica. */
const adminSchema = {
  admin_address: addressSchema.optional()
    .describe("Where the admin API is served"),
  token_file: z.string().optional()
    .describe("File with one `operator token [team ...]` on each line"),
};

/** Addresses and members of the `control` role. */
const controlRoleSchema = z.strictObject({
  rpc_address: addressSchema.describe("Where nodes and replicas call"),
  ...adminSchema,
  metrics_address: addressSchema.optional()
    .describe("Where the replica's metrics are served"),
  data: z.string().describe("Data folder"),
  founders: z.record(z.string(), addressSchema)
    .describe("VM names and RPC addresses of the first replicas"),
  may_found: z.boolean().default(true)
    .describe("Whether a founder with an empty disk may begin a new cluster"),
}).refine((role) => !role.admin_address || role.token_file, {
  message: "a token file beside the admin address",
  path: ["token_file"],
});

/** One process's own settings. */
export const processSchema = z.strictObject({
  vm: z.string().min(1).describe("Name of the VM"),
  domain: z.string().min(1).describe("Failure domain of the VM"),
  region: z.string().min(1).default("default").describe("Region of the VM"),
  control_addresses: z.array(addressSchema).min(1)
    .describe("RPC addresses of some or all control replicas"),
  node: nodeRoleSchema.optional(),
  control: controlRoleSchema.optional(),
}).refine((value) => value.node || value.control, {
  message: "at least one of the tables [node] and [control]",
  path: ["node"],
});

/** One process's own settings. */
export type ProcessSettings = z.infer<typeof processSchema>;
