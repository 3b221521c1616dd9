/**
 * Compression of the workspaces in a view. All nodes fetch them at the same moment
 * after a start and after a change, over links of a few Mbit/s.
 * @module
 */
import { deflateRawSync, inflateRawSync } from "node:zlib";
import type { View } from "../control/view.ts";
import {
  workspaceChangesSchema,
  type WorkspaceParts,
  workspaceTableSchema,
} from "./workspace_view.ts";

/** Number of workspaces from which compression saves more than it costs. */
const MIN_PACKED_WORKSPACES = 32;
/** Largest size of unpacked workspaces, in bytes. */
const MAX_UNPACKED_BYTES = 16 * 1024 * 1024;
/** Fastest level: digests are random, so more effort gains little. */
const COMPRESSION_LEVEL = 1;

/** Packs views, and keeps the packed workspaces of the newest revision. */
export interface WorkspacePacker {
  /** Returns the view with its workspaces compressed if there are many. */
  pack(view: View): View;
}

/** Compresses to text, since frames between nodes hold views as JSON. */
function compress(parts: WorkspaceParts): string {
  const options = { level: COMPRESSION_LEVEL };
  return deflateRawSync(JSON.stringify(parts), options).toString("base64");
}

/** Creates a packer that has packed nothing yet. */
export function createWorkspacePacker(): WorkspacePacker {
  /** Packed parts by the page of the table, or the revision of the reader. */
  const packedParts = new Map<string, string>();
  let packedRevision = 0;

  function packParts(parts: WorkspaceParts): string {
    const { workspaceTable: table, workspaceChanges: changes } = parts;
    const revision = (table ?? changes)!.revision;
    if (revision !== packedRevision) {
      packedParts.clear();
      packedRevision = revision;
    }
    const key = table ? `page ${table.offset ?? 0}` : `since ${changes!.since}`;
    const packed = packedParts.get(key) ?? compress(parts);
    packedParts.set(key, packed);
    return packed;
  }

  return {
    pack(view) {
      const { workspaceTable, workspaceChanges, ...rest } = view;
      const count = workspaceTable?.workspaces.length ??
        workspaceChanges?.set.length ?? 0;
      return count < MIN_PACKED_WORKSPACES ? view : {
        ...rest,
        packedWorkspaces: packParts({ workspaceTable, workspaceChanges }),
      };
    },
  };
}

/** Returns a view with its workspaces unpacked. Throws if they are malformed. */
export function unpackWorkspaces({ packedWorkspaces, ...view }: View): View {
  if (packedWorkspaces === undefined) {
    return view;
  }
  const bytes = inflateRawSync(Buffer.from(packedWorkspaces, "base64"), {
    maxOutputLength: MAX_UNPACKED_BYTES,
  });
  const { workspaceTable, workspaceChanges } = JSON.parse(
    bytes.toString("utf8"),
  );
  return workspaceTable
    ? { ...view, workspaceTable: workspaceTableSchema.parse(workspaceTable) }
    : {
      ...view,
      workspaceChanges: workspaceChangesSchema.parse(workspaceChanges),
    };
}
