package org.corianderweir.ctl;

/** Output format of the results of commands. */
public enum OutputFormat {
  /** Lines and tables for human readers. */
  TEXT,
  /** JSON for programs. */
  JSON
}
