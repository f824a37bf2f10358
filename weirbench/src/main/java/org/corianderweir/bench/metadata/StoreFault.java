package org.corianderweir.bench.metadata;

/** The faults of the stand-in for the metadata store. */
public enum StoreFault {
  /** No fault. */
  NONE,
  /** It refuses all calls with status 503. */
  REFUSES,
  /** It neither answers calls nor carries them out. */
  SILENT,
  /** It leaves all watches unanswered. */
  DEAF_WATCHES,
  /** It carries out writes but does not answer them. */
  LOSES_ANSWERS
}
