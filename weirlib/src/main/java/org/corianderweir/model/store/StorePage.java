package org.corianderweir.model.store;

import java.util.List;

/**
 * One page of the items whose keys have a prefix, in the order of the keys.
 *
 * @param items items of the page
 * @param hasMore whether further items follow the last one
 * @param revision revision of the store when the page was read
 */
public record StorePage(List<StoreItem> items, boolean hasMore, long revision) {
  /** Copies the list. */
  public StorePage {
    items = List.copyOf(items);
  }
}
