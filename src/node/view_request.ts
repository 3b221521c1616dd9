/**
 * Requests for the view of a peer, which reaches a node that control does not.
 * @module
 */
import {
  type KnownRevisions,
  knownRevisionsSchema,
  type View,
} from "../control/view.ts";
import type { ViewRequest } from "../network/frames.ts";
import type { Directory } from "./directory.ts";

/** Creates the request for everything that is newer than a node's revisions. */
export function createViewRequest(known: KnownRevisions): ViewRequest {
  const services = Object.keys(known.services);
  return { kind: "view_request", services, known };
}

/** Returns the parts of a directory that the sender of a request lacks. */
export function answerViewRequest(
  directory: Directory,
  { services, known }: ViewRequest,
): View {
  const revisions = knownRevisionsSchema.safeParse(known);
  return directory.newerThan(
    revisions.data ?? {
      global: 0,
      routes: 0,
      services: Object.fromEntries(services.map((name) => [name, 0])),
    },
  );
}
