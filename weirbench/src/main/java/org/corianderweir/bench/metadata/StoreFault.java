package org.corianderweir.bench.metadata;

/** What the stand-in of the store does wrong. */
public enum StoreFault {
  /** Nothing. */
  NONE,
  /** It refuses all calls. */
  REFUSES,
  /** It does not answer. */
  SILENT,
  /** It holds watches for ever. */
  DEAF_WATCHES,
  /** It carries out writes and does not answer them. */
  LOSES_ANSWERS
}
