package org.corianderweir.model.configuration;

/** From where a condition starts to look for a label; an outer scope is asked if it has none. */
public enum LabelScope {
  /** The backend server, then its availability zone, then its region. */
  SERVER,
  /** The availability zone, then its region. */
  ZONE,
  /** The region alone. */
  REGION;

  /** Returns the word that stands for the scope in selector text. */
  public String keyword() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }
}
