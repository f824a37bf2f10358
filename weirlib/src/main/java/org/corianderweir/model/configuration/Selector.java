package org.corianderweir.model.configuration;

import java.util.List;

/**
 * Says which traffic may go to which service.
 *
 * @param name unique name
 * @param pathPrefix requests whose path starts with this are meant; the longest prefix wins
 * @param service service whose backend servers answer
 * @param open whether requests need no key
 * @param organisations organisations that may use the route; empty means all of them
 */
public record Selector(
    String name, String pathPrefix, String service, boolean open, List<String> organisations) {
  /** Copies the list. */
  public Selector {
    organisations = List.copyOf(organisations);
  }
}
