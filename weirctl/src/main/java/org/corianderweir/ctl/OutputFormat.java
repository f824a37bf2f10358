package org.corianderweir.ctl;

/** How results are printed. */
public enum OutputFormat {
  /** Lines and tables for people. */
  TEXT,
  /** JSON for programs. */
  JSON
}
