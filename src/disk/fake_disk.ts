/**
 * A disk in memory that can crash between operations, tear writes, fail and
 * be lost or rolled back.
 * @module
 */
import { DiskError } from "../core/errors.ts";
import type { Random } from "../core/random.ts";
import type { Disk } from "./disk.ts";

interface File {
  content: Uint8Array;
  durableSize: number;
}

/** A {@link Disk} under a test's control. */
export interface FakeDisk extends Disk {
  /** Number of operations that changed the disk so far. */
  readonly operations: number;
  /** Drops what was not synced, keeping a random torn part of it. */
  crash(random: Random): void;
  /** Makes changing operations fail from the given count on. */
  failFrom(operation: number, reason: string): void;
  /** Lets operations succeed again. */
  repair(): void;
  /** Loses every file. */
  wipe(): void;
  /** Returns a copy of all files, for a later {@link FakeDisk.restore}. */
  copy(): Map<string, Uint8Array>;
  /** Rolls the disk back to a copy. */
  restore(files: Map<string, Uint8Array>): void;
  /** Changes one byte of a file. */
  corrupt(name: string, offset: number): void;
  /** Ends all operations of the process that used the disk. */
  detach(): void;
  /** Returns the same files for the process that comes after. */
  successor(): FakeDisk;
}

/** Creates an empty fake disk, or one with another's files. */
export function createFakeDisk(
  files: Map<string, File> = new Map(),
): FakeDisk {
  let operations = 0;
  let detached = false;
  let failure: { from: number; reason: string } | undefined;

  function change(step: string, name: string): void {
    if (detached) {
      throw new DiskError(`disk.${step}`, name, new Error("process ended"));
    }
    operations++;
    if (failure && operations >= failure.from) {
      throw new DiskError(`disk.${step}`, name, new Error(failure.reason));
    }
  }

  function joined(first: Uint8Array, second: Uint8Array): Uint8Array {
    const result = new Uint8Array(first.length + second.length);
    result.set(first);
    result.set(second, first.length);
    return result;
  }

  return {
    get operations() {
      return operations;
    },
    read(name) {
      const file = files.get(name);
      return Promise.resolve(file && file.content.slice());
    },
    // deno-lint-ignore require-await -- rejects instead of throwing
    async append(name, bytes) {
      change("append", name);
      const file = files.get(name) ??
        { content: new Uint8Array(), durableSize: 0 };
      files.set(name, { ...file, content: joined(file.content, bytes) });
    },
    // deno-lint-ignore require-await -- rejects instead of throwing
    async sync(name) {
      change("sync", name);
      const file = files.get(name);
      if (file) {
        file.durableSize = file.content.length;
      }
    },
    // deno-lint-ignore require-await -- rejects instead of throwing
    async replace(name, bytes) {
      change("replace", name);
      files.set(name, { content: bytes.slice(), durableSize: bytes.length });
    },
    // deno-lint-ignore require-await -- rejects instead of throwing
    async truncate(name, size) {
      change("truncate", name);
      const content = files.get(name)?.content.slice(0, size) ??
        new Uint8Array();
      files.set(name, { content, durableSize: content.length });
    },
    // deno-lint-ignore require-await -- rejects instead of throwing
    async remove(name) {
      change("remove", name);
      files.delete(name);
    },
    close: () => Promise.resolve(),
    crash(random) {
      for (const [name, file] of files) {
        const torn = random.integer(
          file.content.length - file.durableSize + 1,
        );
        const size = file.durableSize + torn;
        files.set(name, {
          content: file.content.slice(0, size),
          durableSize: size,
        });
      }
    },
    failFrom(operation, reason) {
      failure = { from: operation, reason };
    },
    repair() {
      failure = undefined;
    },
    wipe: () => files.clear(),
    copy: () =>
      new Map([...files].map(([name, file]) => [name, file.content.slice()])),
    restore(copy) {
      files.clear();
      for (const [name, content] of copy) {
        files.set(name, {
          content: content.slice(),
          durableSize: content.length,
        });
      }
    },
    corrupt(name, offset) {
      const file = files.get(name);
      if (file) {
        file.content[offset] ^= 0xff;
      }
    },
    detach() {
      detached = true;
    },
    successor: () => createFakeDisk(files),
  };
}
