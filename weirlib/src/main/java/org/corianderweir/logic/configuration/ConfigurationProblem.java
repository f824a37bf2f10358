package org.corianderweir.logic.configuration;

/**
 * A violation of a rule for configurations.
 *
 * @param type rule that is violated
 * @param subject item that violates it, for example {@code selector shop}
 * @param detail description of the violation
 */
public record ConfigurationProblem(Type type, String subject, String detail) {
  /** The rules, named by the way in which a configuration violates them. */
  public enum Type {
    /** Two items of a kind have the same name, number or octet, or a name is empty. */
    NAME_INVALID,
    /** An item refers to a region that does not exist. */
    REGION_UNKNOWN,
    /** An item refers to an availability zone that does not exist. */
    ZONE_UNKNOWN,
    /** A client block refers to a site that does not exist. */
    SITE_UNKNOWN,
    /** An item refers to an organisation that does not exist. */
    ORGANISATION_UNKNOWN,
    /** A selector refers to a service that no backend server runs. */
    SERVICE_WITHOUT_SERVER,
    /** Two selectors have the same path prefix. */
    PATH_AMBIGUOUS,
    /** A selector refers to a backend server that does not exist. */
    SERVER_UNKNOWN,
    /** A selector has no destination with a weight above zero, or too many destinations. */
    DESTINATION_INVALID,
    /** A limit is below its minimum, infinite or not a number. */
    LIMIT_INVALID,
    /** An item has two values for the same label. */
    LABELS_CONTRADICT,
    /** Two backend servers have the same address. */
    ADDRESS_AMBIGUOUS,
    /** A value is malformed or out of range, for example a port, hash or path. */
    VALUE_MALFORMED
  }

  /** Returns the problem as one line for operators: type, subject and detail. */
  public String text() {
    return type.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-')
        + ": "
        + subject
        + ": "
        + detail;
  }
}
