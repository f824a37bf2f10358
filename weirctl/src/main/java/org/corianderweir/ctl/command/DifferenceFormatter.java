package org.corianderweir.ctl.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import org.corianderweir.logic.steering.grammar.SelectorFormatter;
import org.corianderweir.model.configuration.AccessKey;
import org.corianderweir.model.configuration.AvailabilityZone;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Organisation;
import org.corianderweir.model.configuration.Region;
import org.corianderweir.model.configuration.Selector;
import org.corianderweir.protocol.Json;

/**
 * Formats the items that differ between two configurations, with their old and new content. Never
 * shows the hash of a key.
 */
final class DifferenceFormatter {
  private DifferenceFormatter() {}

  static List<String> lines(Configuration from, Configuration to) {
    List<String> lines = new ArrayList<>();
    add(lines, "region", from.regions(), to.regions(), Region::name, Json::write);
    add(
        lines,
        "link",
        from.links(),
        to.links(),
        link -> link.fromRegion() + " to " + link.toRegion(),
        Json::write);
    add(lines, "zone", from.zones(), to.zones(), AvailabilityZone::name, Json::write);
    add(
        lines,
        "organisation",
        from.organisations(),
        to.organisations(),
        Organisation::name,
        Json::write);
    add(lines, "key", from.keys(), to.keys(), AccessKey::identifier, AccessKey::organisation);
    add(
        lines,
        "server",
        from.backendServers(),
        to.backendServers(),
        BackendServer::name,
        Json::write);
    add(
        lines,
        "selector",
        from.selectors(),
        to.selectors(),
        Selector::name,
        DifferenceFormatter::text);
    return lines;
  }

  private static String text(Selector selector) {
    String shift = selector.shift().map(Json::write).map(text -> " shift " + text).orElse("");
    return SelectorFormatter.format(selector) + shift;
  }

  private static <T> void add(
      List<String> lines,
      String kind,
      List<T> from,
      List<T> to,
      Function<T, String> name,
      Function<T, String> text) {
    Map<String, String> before = byName(from, name, text);
    Map<String, String> after = byName(to, name, text);
    TreeSet<String> names = new TreeSet<>(before.keySet());
    names.addAll(after.keySet());
    for (String itemName : names) {
      String oldText = before.getOrDefault(itemName, "");
      String newText = after.getOrDefault(itemName, "");
      if (!oldText.equals(newText)) {
        if (before.containsKey(itemName)) {
          lines.add("- " + kind + " " + itemName + ": " + oldText);
        }
        if (after.containsKey(itemName)) {
          lines.add("+ " + kind + " " + itemName + ": " + newText);
        }
      }
    }
  }

  private static <T> Map<String, String> byName(
      List<T> values, Function<T, String> name, Function<T, String> text) {
    Map<String, String> byName = new TreeMap<>();
    values.forEach(value -> byName.put(name.apply(value), text.apply(value)));
    return byName;
  }
}
