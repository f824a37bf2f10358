package org.corianderweir.protocol.operator;

import java.util.List;
import java.util.Optional;
import org.corianderweir.model.configuration.Site;

/** The messages about sites and client blocks. */
public final class ClientBlockMessages {
  private ClientBlockMessages() {}

  /**
   * All sites.
   *
   * @param sites the sites, by number
   * @param clientBlocks number of client blocks in force
   */
  public record Sites(List<Site> sites, int clientBlocks) {}

  /**
   * Adds or replaces a site.
   *
   * @param site the site
   */
  public record SetSite(Site site) {}

  /**
   * Names a site.
   *
   * @param site name of the site
   */
  public record SiteName(String site) {}

  /**
   * Names a client.
   *
   * @param client IPv4 address
   */
  public record Client(String client) {}

  /**
   * Where a client is steered.
   *
   * @param client its address
   * @param prefix longest prefix that contains the address, if any does
   * @param site site of that block
   */
  public record Steering(String client, Optional<String> prefix, Optional<Site> site) {}

  /**
   * Steers client blocks.
   *
   * @param prefixes their prefixes
   * @param site name of the site
   */
  public record SteerBlocks(List<String> prefixes, String site) {}

  /**
   * Names client blocks.
   *
   * @param prefixes their prefixes
   */
  public record Blocks(List<String> prefixes) {}
}
