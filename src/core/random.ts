/**
 * Random numbers. All randomness of a process comes from this interface, so
 * that a run can be reproduced from its seed.
 * @module
 */
import { randomBytes } from "node:crypto";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";

/** A source of random numbers and identifiers. */
export interface Random {
  /** Returns an integer from 0 to `bound - 1`. */
  integer(bound: number): number;
  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  fraction(): number;
  /** Returns a hexadecimal identifier of 64 random bits. */
  identifier(): string;
}

const IDENTIFIER_HALF_VALUES = 0x1_0000_0000;
const IDENTIFIER_HALF_DIGITS = 8;
const IDENTIFIER_BYTES = 8;
const POOL_BYTES = 4_096;

/** Creates a source that yields the same sequence for the same seed. */
export function createSeededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed | 0);

  function integer(bound: number): number {
    return uniformInt(generator, 0, bound - 1);
  }
  function identifierHalf(): string {
    return integer(IDENTIFIER_HALF_VALUES)
      .toString(16)
      .padStart(IDENTIFIER_HALF_DIGITS, "0");
  }
  return {
    integer,
    fraction: () => uniformFloat64(generator),
    identifier: () => identifierHalf() + identifierHalf(),
  };
}

/** Creates a source that is seeded by the operating system. */
export function createSystemRandom(): Random {
  const seeded = createSeededRandom(randomBytes(4).readInt32LE());
  let pool = randomBytes(POOL_BYTES);
  let usedBytes = 0;

  /** Takes an identifier from a pool of random bytes, refilled in bulk. */
  function identifier(): string {
    if (usedBytes + IDENTIFIER_BYTES > pool.length) {
      pool = randomBytes(POOL_BYTES);
      usedBytes = 0;
    }
    const end = usedBytes + IDENTIFIER_BYTES;
    const text = pool.toString("hex", usedBytes, end);
    usedBytes = end;
    return text;
  }

  return {
    integer: seeded.integer,
    fraction: seeded.fraction,
    identifier,
  };
}
