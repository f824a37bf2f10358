package org.corianderweir.logic.traffic;

import net.openhft.hashing.LongHashFunction;

/** Hash functions that give the same result in every process. */
final class Hashing {
  private static final LongHashFunction HASH = LongHashFunction.xx3();
  private static final int MANTISSA_BITS = 53;
  private static final double SCALE = 1.0 / (1L << MANTISSA_BITS);

  private Hashing() {}

  static long hash(String text) {
    return HASH.hashChars(text);
  }

  /** Returns a number above 0 and below 1 for a pair of hashes. */
  static double uniform(long first, long second) {
    return uniformOfMixed(first, mix(second));
  }

  /** Returns the part of {@link #uniform} that depends only on the second hash. */
  static long mix(long second) {
    return HASH.hashLong(second);
  }

  private static double uniformOfMixed(long first, long mixedSecond) {
    long mixed = HASH.hashLong(first * 31 + mixedSecond);
    return ((mixed >>> (Long.SIZE - MANTISSA_BITS)) + 0.5) * SCALE;
  }

  /**
   * Returns the score of a node in weighted rendezvous hashing (Schindelhauer and Schomaker,
   * "Weighted Distributed Hash Tables", 2005); the lowest score wins.
   */
  static double rendezvousScore(long key, long node, double weight) {
    return rendezvousScoreOfMixed(key, mix(node), weight);
  }

  /** Returns {@link #rendezvousScore} for a node whose hash was mixed before. */
  static double rendezvousScoreOfMixed(long key, long mixedNode, double weight) {
    return -Math.log(uniformOfMixed(key, mixedNode)) / weight;
  }
}
