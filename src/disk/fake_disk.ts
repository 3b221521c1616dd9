/**
 * An in-memory disk that simulates crashes between operations, torn writes,
 * write failures, data loss and rollbacks.
 * @module
 */
import { DiskError } from "../core/errors.ts";
import type { Random } from "../core/random.ts";
import type { Disk } from "./disk.ts";

interface StoredFile {
  content: Uint8Array;
  durableSize: number;
}

/** A {@link Disk} that a test controls. */
export interface FakeDisk extends Disk {
  /** Number of write operations so far, including syncs and failed ones. */
  readonly operations: number;
  /** Drops unsynced data except for a prefix of random length (torn write). */
  crash(random: Random): void;
  /** Makes write operations fail from the given operation number on. */
  failFrom(operation: number, reason: string): void;
  /**
   * Makes write operations fail as on a full disk: an append keeps a random part
   * of its bytes, and nothing is replaced, truncated or removed.
   */
  fill(random: Random): void;
  /** Makes write operations succeed again. */
  clearFailure(): void;
  /** Removes every file. */
  wipe(): void;
  /** Returns a copy of all files, for a later {@link FakeDisk.restore}. */
  copy(): Map<string, Uint8Array>;
  /** Restores the files of a copy. */
  restore(files: Map<string, Uint8Array>): void;
  /** Inverts one byte of a file. */
  corrupt(name: string, offset: number): void;
  /** Makes all later write operations fail, since their process has ended. */
  detach(): void;
  /** Returns a disk with the same files, for a restarted process. */
  reopen(): FakeDisk;
}

/** Creates an empty fake disk, or one that shares the given files. */
export function createFakeDisk(
  files: Map<string, StoredFile> = new Map(),
): FakeDisk {
  let operations = 0;
  let detached = false;
  let failure: { from: number; reason: string } | undefined;
  /** Source of the parts that a full disk keeps; `undefined` if it has room. */
  let partOf: Random | undefined;

  function recordOperation(step: string, name: string): void {
    if (detached) {
      throw new DiskError(`disk.${step}`, name, new Error("process ended"));
    }
    operations++;
    if (failure && operations >= failure.from) {
      throw new DiskError(`disk.${step}`, name, new Error(failure.reason));
    }
  }

  function concatenate(first: Uint8Array, second: Uint8Array): Uint8Array {
    const result = new Uint8Array(first.length + second.length);
    result.set(first);
    result.set(second, first.length);
    return result;
  }

  function appendTo(name: string, bytes: Uint8Array): void {
    const file = files.get(name) ??
      { content: new Uint8Array(), durableSize: 0 };
    files.set(name, { ...file, content: concatenate(file.content, bytes) });
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
      if (partOf && !detached) {
        const size = partOf.integer(bytes.length + 1);
        appendTo(name, bytes.subarray(0, size));
      }
      recordOperation("append", name);
      appendTo(name, bytes);
    },
    // deno-lint-ignore require-await -- rejects instead of throwing
    async sync(name) {
      recordOperation("sync", name);
      const file = files.get(name);
      if (file) {
        file.durableSize = file.content.length;
      }
    },
    // deno-lint-ignore require-await -- rejects instead of throwing
    async replace(name, bytes) {
      recordOperation("replace", name);
      files.set(name, { content: bytes.slice(), durableSize: bytes.length });
    },
    // deno-lint-ignore require-await -- rejects instead of throwing
    async truncate(name, size) {
      recordOperation("truncate", name);
      const content = files.get(name)?.content.slice(0, size) ??
        new Uint8Array();
      files.set(name, { content, durableSize: content.length });
    },
    // deno-lint-ignore require-await -- rejects instead of throwing
    async remove(name) {
      recordOperation("remove", name);
      files.delete(name);
    },
    close: () => Promise.resolve(),
    crash(random) {
      for (const [name, file] of files) {
        const tornBytes = random.integer(
          file.content.length - file.durableSize + 1,
        );
        const size = file.durableSize + tornBytes;
        files.set(name, {
          content: file.content.slice(0, size),
          durableSize: size,
        });
      }
    },
    failFrom(operation, reason) {
      failure = { from: operation, reason };
    },
    fill(random) {
      partOf = random;
      failure = { from: operations, reason: "no space left on device" };
    },
    clearFailure() {
      failure = undefined;
      partOf = undefined;
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
    reopen: () => createFakeDisk(files),
  };
}
