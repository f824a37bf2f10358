package org.corianderweir.logic.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.corianderweir.model.configuration.AccessKey;
import org.corianderweir.model.configuration.AvailabilityZone;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Link;
import org.corianderweir.model.configuration.Organisation;
import org.corianderweir.model.configuration.Region;
import org.corianderweir.model.configuration.Selector;

/**
 * The difference between two configurations. Sites and client blocks are not compared.
 *
 * @param items the items that changed
 */
public record ConfigurationDifference(List<ChangedItem> items) {
  private static final int SUMMARY_ITEM_COUNT = 8;

  /** Copies the list. */
  public ConfigurationDifference {
    items = List.copyOf(items);
  }

  /** How an item changed. */
  public enum ChangeType {
    /** Only the later configuration has the item. */
    ADDED,
    /** Only the earlier configuration has the item. */
    REMOVED,
    /** Both configurations have the item, with different content. */
    CHANGED
  }

  /**
   * An item that changed.
   *
   * @param kind kind of item, for example {@code selector}
   * @param name name of the item
   * @param type how it changed
   */
  public record ChangedItem(String kind, String name, ChangeType type) {}

  /** Compares two configurations. */
  public static ConfigurationDifference between(Configuration before, Configuration after) {
    List<ChangedItem> items = new ArrayList<>();
    compare(items, "region", before.regions(), after.regions(), Region::name);
    compare(items, "link", before.links(), after.links(), ConfigurationDifference::linkName);
    compare(items, "zone", before.zones(), after.zones(), AvailabilityZone::name);
    compare(
        items, "organisation", before.organisations(), after.organisations(), Organisation::name);
    compare(items, "key", before.keys(), after.keys(), AccessKey::identifier);
    compare(
        items,
        "backend server",
        before.backendServers(),
        after.backendServers(),
        BackendServer::name);
    compare(items, "selector", before.selectors(), after.selectors(), Selector::name);
    return new ConfigurationDifference(items);
  }

  /** Returns a summary for operators that names the first eight changed items. */
  public String summary() {
    if (items.isEmpty()) {
      return "no change";
    }
    String text =
        items.stream()
            .limit(SUMMARY_ITEM_COUNT)
            .map(item -> item.kind() + ' ' + item.name() + ' ' + typeText(item.type()))
            .collect(Collectors.joining(", "));
    int more = items.size() - SUMMARY_ITEM_COUNT;
    return more > 0 ? text + " and " + more + " more" : text;
  }

  static String linkName(Link link) {
    return link.fromRegion() + " to " + link.toRegion();
  }

  private static String typeText(ChangeType type) {
    return type.name().toLowerCase(java.util.Locale.ROOT);
  }

  private static <T> void compare(
      List<ChangedItem> items,
      String kind,
      List<T> before,
      List<T> after,
      Function<T, String> name) {
    Map<String, T> remaining = new LinkedHashMap<>();
    before.forEach(item -> remaining.put(name.apply(item), item));
    for (T item : after) {
      T former = remaining.remove(name.apply(item));
      if (former == null) {
        items.add(new ChangedItem(kind, name.apply(item), ChangeType.ADDED));
      } else if (!former.equals(item)) {
        items.add(new ChangedItem(kind, name.apply(item), ChangeType.CHANGED));
      }
    }
    remaining
        .keySet()
        .forEach(removedName -> items.add(new ChangedItem(kind, removedName, ChangeType.REMOVED)));
  }
}
