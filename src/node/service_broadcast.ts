/**
 * Frames to the guards of all other members of a service.
 * @module
 */
import type { PeerPool } from "../ingress/peer_pool.ts";
import type { Frame } from "../network/frames.ts";
import type { Directory } from "./directory.ts";

/**
 * Creates a function that sends a frame to the guards of a service. A guard that
 * cannot be reached does not get it.
 */
export function createServiceBroadcast(
  options: { vm: string; directory: Directory; pool: PeerPool },
): (frame: Frame, service: string) => Promise<void> {
  const { vm, directory, pool } = options;

  async function sendTo(address: string, frame: Frame): Promise<void> {
    try {
      const channel = await pool.take(address);
      await channel.send(frame);
      pool.release(channel);
    } catch {
      // What guards have to know is at control too.
    }
  }

  return async (frame, service) => {
    const members = directory.service(service)?.members ?? [];
    const others = members.filter(({ server }) => server !== vm);
    await Promise.all(others.map(({ address }) => sendTo(address, frame)));
  };
}
