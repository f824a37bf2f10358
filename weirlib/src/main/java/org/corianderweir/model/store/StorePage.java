package org.corianderweir.model.store;

import java.util.List;

/**
 * A part of the items below a prefix, in the order of their keys.
 *
 * @param items the items
 * @param hasMore whether further items follow the last one
 * @param revision revision of the store when the page was read
 */
public record StorePage(List<StoreItem> items, boolean hasMore, long revision) {
  /** Copies the list. */
  public StorePage {
    items = List.copyOf(items);
  }
}
