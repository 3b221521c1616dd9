/**
 * Mustardcross as a library: the components of which its daemons consist.
 * @module
 */
export { type Control, createControl } from "./control/control.ts";
export { createEmbeddedIngress, type EmbeddedIngress } from "./embedded.ts";
export type { Call, Reply } from "./ingress/call.ts";
export { createLogger, type Logger, silentLogger } from "./core/logger.ts";
export { createNode, type Node } from "./node/node.ts";
export { type MustardcrossProcess, startProcess } from "./process.ts";
export { loadProcess, loadSite } from "./settings/load.ts";
export type { ProcessSettings } from "./settings/process.ts";
export type { Site } from "./settings/site.ts";
