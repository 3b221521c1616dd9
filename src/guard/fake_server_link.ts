/**
 * A link to a backend server for tests, in fake time.
 * @module
 */
import { silentLogger } from "../core/logger.ts";
import { createFakeTimer, type FakeTimer } from "../time/fake_timer.ts";
import { createHttpBackend } from "./http_backend.ts";
import {
  type Announcement,
  createServerLink,
  type ServerLink,
  type ServerLinkOptions,
} from "./server_link.ts";

/** A link, and what it was created with. */
export interface FakeServerLink {
  link: ServerLink;
  timer: FakeTimer;
  announcement: Announcement;
}

/** Creates a link to which the server at an address is announced. */
export function createFakeServerLink(
  address: string,
  overrides: Partial<ServerLinkOptions> = {},
): FakeServerLink {
  const timer = createFakeTimer();
  const link = createServerLink({
    timer,
    logger: silentLogger,
    createBackend: createHttpBackend,
    connections: () => 1,
    healthPath: () => undefined,
    onCold: () => {},
    onLimit: () => {},
    onLeaving: () => {},
    onReport: () => {},
    ...overrides,
  });
  const announcement: Announcement = {
    service: "work",
    address,
    boot: "one",
    sequence: 1,
    healthPath: "/health",
  };
  link.announce(announcement);
  return { link, timer, announcement };
}
