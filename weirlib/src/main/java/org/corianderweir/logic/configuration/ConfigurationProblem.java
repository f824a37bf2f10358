package org.corianderweir.logic.configuration;

/**
 * A rule that a configuration breaks.
 *
 * @param type the rule
 * @param subject what breaks it, for example {@code selector shop}
 * @param detail what was found
 */
public record ConfigurationProblem(Type type, String subject, String detail) {
  /** The rules. */
  public enum Type {
    /** Two items of a kind have the same name, or a name is empty. */
    NAME_INVALID,
    /** An item names a region that there is not. */
    REGION_UNKNOWN,
    /** An item names an availability zone that there is not. */
    ZONE_UNKNOWN,
    /** A client block names a site that there is not. */
    SITE_UNKNOWN,
    /** An item names an organisation that there is not. */
    ORGANISATION_UNKNOWN,
    /** A selector names a service that no backend server runs. */
    SERVICE_WITHOUT_SERVER,
    /** Two selectors have the same path prefix. */
    PATH_AMBIGUOUS,
    /** A selector names a backend server that there is not. */
    SERVER_UNKNOWN,
    /** A selector has no destination that can get traffic, or too many. */
    DESTINATION_INVALID,
    /** A limit is zero, negative or not a number. */
    LIMIT_INVALID,
    /** An item has two values for the same label. */
    LABELS_CONTRADICT,
    /** Two backend servers have the same address. */
    ADDRESS_AMBIGUOUS,
    /** A port, hash or path can't be what it is meant to be. */
    VALUE_MALFORMED
  }

  /** Returns a line for operators. */
  public String text() {
    return type.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-')
        + ": "
        + subject
        + ": "
        + detail;
  }
}
