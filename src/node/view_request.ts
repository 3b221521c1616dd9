/**
 * Requests for the view of a peer, which reaches a node that control does not.
 * @module
 */
import {
  type KnownRevisions,
  knownRevisionsSchema,
  type View,
} from "../control/view.ts";
import { createRoutePacker } from "../control/route_packing.ts";
import type { ViewRequest } from "../network/frames.ts";
import { createWorkspacePacker } from "../workspaces/workspace_packing.ts";
import type { Directory } from "./directory.ts";

/** Creates the request for everything that is newer than a node's revisions. */
export function createViewRequest(known: KnownRevisions): ViewRequest {
  const services = Object.keys(known.services);
  return { kind: "view_request", services, known };
}

/**
 * Creates a function that returns the parts of a directory which the sender of
 * a request lacks.
 */
export function createViewResponder(
  directory: Directory,
): (request: ViewRequest) => View {
  const packer = createRoutePacker();
  const workspacePacker = createWorkspacePacker();
  return ({ services, known }) => {
    const revisions = knownRevisionsSchema.safeParse(known);
    if (revisions.success) {
      const newer = directory.newerThan(revisions.data);
      return workspacePacker.pack(packer.pack(newer));
    }
    const unknown = services.map((name): [string, number] => [name, 0]);
    return directory.newerThan({
      global: 0,
      routes: 0,
      services: Object.fromEntries(unknown),
    });
  };
}
