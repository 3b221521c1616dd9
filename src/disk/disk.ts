/**
 * Disk interface: files in one data folder, which are durable once synced.
 * @module
 */

/**
 * Files in one data folder. Every method except `close` rejects with
 * `DiskError` if it fails.
 */
export interface Disk {
  /** Returns the content of a file, or `undefined` if it does not exist. */
  read(name: string): Promise<Uint8Array | undefined>;
  /** Appends bytes; they survive a crash only after {@link Disk.sync}. */
  append(name: string, bytes: Uint8Array): Promise<void>;
  /** Makes all earlier appends to the file durable. */
  sync(name: string): Promise<void>;
  /** Replaces the whole file atomically and durably. */
  replace(name: string, bytes: Uint8Array): Promise<void>;
  /** Truncates the file to `size` bytes durably. */
  truncate(name: string, size: number): Promise<void>;
  /** Removes the file durably if it exists. */
  remove(name: string): Promise<void>;
  /** Closes open files. */
  close(): Promise<void>;
}
