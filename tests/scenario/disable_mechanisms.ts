/**
 * Disables mechanisms of the product at their interfaces, so that a scenario can
 * show that it fails without them. The product itself has no such switches.
 * @module
 */
import type { Frame } from "../../src/network/frames.ts";
import type { View } from "../../src/control/view.ts";
import type { Mechanism } from "./language.ts";
import type { World } from "./world.ts";

type ReplaceFrame = (frame: Frame, to: string) => Frame | undefined;

/**
 * Functions that replace frames in transit to disable a mechanism; a frame
 * replaced by `undefined` is dropped.
 */
const FRAME_REPLACEMENTS: Partial<
  Record<Mechanism, (world: World) => ReplaceFrame>
> = {
  fence: () => (frame) =>
    frame.kind === "fence_state" ? { ...frame, state: "fenced" } : frame,
  suspicion: () => (frame) => frame.kind === "suspicion" ? undefined : frame,
  turn_away: () => (frame) =>
    frame.kind === "attempt" ? { ...frame, elsewhere: false } : frame,
  version_gossip: () => (frame) => {
    if (frame.kind === "attempt") {
      return { ...frame, version: 0 };
    }
    return "load" in frame && frame.load
      ? { ...frame, load: { ...frame.load, version: 0 } } as Frame
      : frame;
  },
};

/** Removes withdrawals from a view that a node receives. */
function removeWithdrawals(view: View): View {
  return {
    ...view,
    global: view.global && { ...view.global, domainsOut: [], serversOut: [] },
  };
}

/** Makes nodes ignore that their backend servers leave. */
function disableLeaving(world: World): void {
  for (const vm of world.vms) {
    vm.node.leave = () => Promise.resolve(true);
  }
}

/** Makes planned stops of nodes abrupt. */
function disableDrain(world: World): void {
  for (const vm of world.vms) {
    vm.node.drain = () => Promise.resolve();
    vm.node.stop = () => Promise.resolve();
  }
}

/** Disables mechanisms in a world that has not started. */
export function disableMechanisms(
  world: World,
  mechanisms: readonly Mechanism[],
): void {
  for (const name of mechanisms) {
    const replace = FRAME_REPLACEMENTS[name]?.(world);
    if (replace) {
      world.network.replaceFrames(replace);
    }
    if (name === "suspicion") {
      // Guards neither hear each other nor what control has kept.
      world.rpc.replaceReplies("sync", (reply) => ({
        ...reply as object,
        suspects: undefined,
      }));
    }
    if (name === "withdrawal") {
      world.rpc.replaceReplies("sync", (reply) => {
        const sync = reply as { view: View };
        return { ...sync, view: removeWithdrawals(sync.view) };
      });
    }
    if (name === "leaving") {
      disableLeaving(world);
    }
    if (name === "drain") {
      disableDrain(world);
    }
    if (name === "confirmed_start") {
      world.rpc.replaceReplies("sync", (reply) => ({
        ...reply as object,
        confirmed: true,
      }));
    }
    if (name === "claims") {
      // Control numbers claims by log index; these numbers are above all of those.
      let claim = 1_000_000;
      world.rpc.replaceReplies("claim", () => ({
        kind: "done",
        value: { kind: "granted", claim: claim++ },
      }));
    }
  }
}
