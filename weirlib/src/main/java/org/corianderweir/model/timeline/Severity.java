package org.corianderweir.model.timeline;

/** How serious an event is. */
public enum Severity {
  /** Of use when looking into one request. */
  DEBUG,
  /** Part of ordinary operation. */
  INFO,
  /** Something failed and the system goes on. */
  WARNING,
  /** Something failed and an operator should look. */
  ERROR
}
