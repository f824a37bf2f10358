package org.corianderweir.logic.configuration;

import java.util.List;
import org.corianderweir.model.configuration.Site;

/** Changes of sites and of the client blocks that are steered to them. */
public sealed interface ClientBlockChange extends ConfigurationChange {
  /**
   * Adds a site or replaces the one with the same name.
   *
   * @param site the site
   */
  record SetSite(Site site) implements ClientBlockChange {}

  /**
   * Removes a site that no client block names any more.
   *
   * @param site name of the site
   */
  record RemoveSite(String site) implements ClientBlockChange {}

  /**
   * Steers client blocks to a site.
   *
   * @param prefixes prefixes such as {@code 10.1.0.0/16}, of at least eight bits
   * @param site name of the site
   */
  record SteerBlocks(List<String> prefixes, String site) implements ClientBlockChange {
    /** Copies the list. */
    public SteerBlocks {
      prefixes = List.copyOf(prefixes);
    }
  }

  /**
   * Removes client blocks.
   *
   * @param prefixes prefixes of the blocks
   */
  record RemoveBlocks(List<String> prefixes) implements ClientBlockChange {
    /** Copies the list. */
    public RemoveBlocks {
      prefixes = List.copyOf(prefixes);
    }
  }
}
