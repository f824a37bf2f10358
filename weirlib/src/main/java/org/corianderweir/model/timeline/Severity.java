package org.corianderweir.model.timeline;

/** The severity of an event. */
public enum Severity {
  /** Useful for the analysis of a single request. */
  DEBUG,
  /** Part of normal operation. */
  INFO,
  /** Something failed, but the system continues to work. */
  WARNING,
  /** Something failed and needs an operator's attention. */
  ERROR
}
