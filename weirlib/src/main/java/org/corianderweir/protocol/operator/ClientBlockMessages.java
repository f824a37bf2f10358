package org.corianderweir.protocol.operator;

import java.util.List;
import java.util.Optional;
import org.corianderweir.model.configuration.Site;

/**
 * Messages about client blocks, which are IPv4 prefixes of clients, and the sites that they are
 * steered to.
 */
public final class ClientBlockMessages {
  private ClientBlockMessages() {}

  /**
   * All sites.
   *
   * @param sites the sites, ordered by number
   * @param clientBlocks number of client blocks in the configuration in force
   */
  public record Sites(List<Site> sites, int clientBlocks) {}

  /**
   * Request to add or replace a site.
   *
   * @param site the site
   */
  public record SetSite(Site site) {}

  /**
   * Request that identifies a site.
   *
   * @param site name of the site
   */
  public record SiteName(String site) {}

  /**
   * Request that identifies a client.
   *
   * @param client IPv4 address of the client
   */
  public record Client(String client) {}

  /**
   * The site that a client is steered to.
   *
   * @param client IPv4 address of the client
   * @param prefix longest prefix of a client block that contains the address; empty if none does
   * @param site site of that client block; empty if there is no such block
   */
  public record Steering(String client, Optional<String> prefix, Optional<Site> site) {}

  /**
   * Request to steer client blocks to a site.
   *
   * @param prefixes prefixes of the client blocks, for example {@code 10.1.0.0/16}
   * @param site name of the site
   */
  public record SteerBlocks(List<String> prefixes, String site) {}

  /**
   * Request that identifies client blocks.
   *
   * @param prefixes prefixes of the client blocks, for example {@code 10.1.0.0/16}
   */
  public record Blocks(List<String> prefixes) {}
}
