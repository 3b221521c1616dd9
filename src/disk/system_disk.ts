/**
 * Disk interface on the file system.
 * @module
 */
import {
  type FileHandle,
  mkdir,
  open,
  readFile,
  rename,
  rm,
} from "node:fs/promises";
import { join } from "node:path";
import { DiskError } from "../core/errors.ts";
import type { Disk } from "./disk.ts";

/** Opens a data folder, creating it if it does not exist. */
export async function openSystemDisk(folder: string): Promise<Disk> {
  const handles = new Map<string, FileHandle>();

  async function withDiskError<T>(
    step: string,
    name: string,
    operation: (path: string) => Promise<T>,
  ): Promise<T> {
    const path = join(folder, name);
    try {
      return await operation(path);
    } catch (error) {
      throw new DiskError(`disk.${step}`, path, error);
    }
  }

  async function openHandle(path: string): Promise<FileHandle> {
    const existing = handles.get(path);
    if (existing) {
      return existing;
    }
    const handle = await open(path, "a");
    handles.set(path, handle);
    await syncFolder();
    return handle;
  }

  async function closeHandle(path: string): Promise<void> {
    const handle = handles.get(path);
    handles.delete(path);
    await handle?.close();
  }

  async function syncFolder(): Promise<void> {
    const handle = await open(folder, "r");
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  }

  await withDiskError("open", ".", () => mkdir(folder, { recursive: true }));

  return {
    read: (name) =>
      withDiskError("read", name, async (path) => {
        try {
          return await readFile(path);
        } catch (error) {
          if ((error as NodeJS.ErrnoException).code === "ENOENT") {
            return undefined;
          }
          throw error;
        }
      }),
    append: (name, bytes) =>
      withDiskError("append", name, async (path) => {
        const handle = await openHandle(path);
        await handle.appendFile(bytes);
      }),
    sync: (name) =>
      withDiskError("sync", name, async (path) => {
        const handle = await openHandle(path);
        await handle.datasync();
      }),
    replace: (name, bytes) =>
      withDiskError("replace", name, async (path) => {
        await closeHandle(path);
        const temporaryPath = `${path}.new`;
        const handle = await open(temporaryPath, "w");
        try {
          await handle.writeFile(bytes);
          await handle.sync();
        } finally {
          await handle.close();
        }
        await rename(temporaryPath, path);
        await syncFolder();
      }),
    truncate: (name, size) =>
      withDiskError("truncate", name, async (path) => {
        const handle = await open(path, "r+");
        try {
          await handle.truncate(size);
          await handle.sync();
        } finally {
          await handle.close();
        }
      }),
    remove: (name) =>
      withDiskError("remove", name, async (path) => {
        await closeHandle(path);
        await rm(path, { force: true });
        await syncFolder();
      }),
    async close() {
      for (const path of [...handles.keys()]) {
        await closeHandle(path);
      }
    },
  };
}
