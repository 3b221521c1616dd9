/**
 * Liveness reports of a stand-in of a backend server to the node beside it.
 * @module
 */
import { call, PORTS } from "./fleet.mjs";

const HEARTBEAT_MS = 1_500;

/** Reports for one start of a server, about every heartbeat. */
export class Heartbeats {
  #seq = 0;
  #timer;

  constructor(node, { id, slots = 14 }) {
    this.node = node;
    this.id = id;
    this.slots = slots;
    this.born = Date.now();
    this.state = "ready";
    /** Time until which the server is cold. */
    this.coldUntil = 0;
  }

  /** Time for which the server stays cold, in milliseconds. */
  get coldMs() {
    return Math.max(0, this.coldUntil - Date.now());
  }

  async send() {
    const answer = await call({
      ip: this.node.ip,
      port: PORTS.control,
      method: "PUT",
      path: `/instances/${this.id}`,
      headers: { "content-type": "application/json" },
      body: JSON.stringify({
        service: this.node.service,
        address: `${this.node.ip}:${PORTS.app}`,
        zone: this.node.zone,
        version: "v1",
        slots: this.slots,
        state: this.state,
        cold_remaining: `${this.coldMs}ms`,
        seq: ++this.#seq,
        born: this.born,
      }),
    });
    return answer.status === 200;
  }

  start() {
    this.#timer = setInterval(() => void this.send(), HEARTBEAT_MS);
    return this.send();
  }

  stop() {
    clearInterval(this.#timer);
  }
}
