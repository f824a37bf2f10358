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
   * Removes a site. The change is refused while client blocks are steered to the site.
   *
   * @param site name of the site
   */
  record RemoveSite(String site) implements ClientBlockChange {}

  /**
   * Steers client blocks to a site.
   *
   * @param prefixes prefixes of at least eight bits in CIDR notation, for example {@code
   *     10.1.0.0/16}
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
   * @param prefixes prefixes of the blocks in CIDR notation
   */
  record RemoveBlocks(List<String> prefixes) implements ClientBlockChange {
    /** Copies the list. */
    public RemoveBlocks {
      prefixes = List.copyOf(prefixes);
    }
  }
}
