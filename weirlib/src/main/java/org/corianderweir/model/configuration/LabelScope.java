package org.corianderweir.model.configuration;

/**
 * The scope in which a condition starts to look up a label. If the label is absent there, it is
 * looked up in the enclosing scopes.
 */
public enum LabelScope {
  /** The backend server, then its availability zone and its region. */
  SERVER,
  /** The availability zone, then its region. */
  ZONE,
  /** The region alone. */
  REGION;

  /** Returns the keyword of the scope in selector text. */
  public String keyword() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }
}
