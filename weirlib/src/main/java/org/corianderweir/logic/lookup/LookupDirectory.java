package org.corianderweir.logic.lookup;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.corianderweir.model.configuration.AvailabilityZone;
import org.corianderweir.model.configuration.ClientBlockChunk;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Site;

/**
 * Finds the availability zone that a client is steered to. Immutable: a new configuration gives a
 * new directory, for which only the changed chunks of client blocks are unpacked.
 */
public final class LookupDirectory {
  /** A directory of an empty configuration. */
  public static final LookupDirectory EMPTY =
      new LookupDirectory(ClientBlockTable.EMPTY, Map.of(), Map.of());

  private final ClientBlockTable table;
  private final Map<Integer, String> packedByOctet;
  private final Map<Integer, AvailabilityZone> zoneBySite;

  private LookupDirectory(
      ClientBlockTable table,
      Map<Integer, String> packedByOctet,
      Map<Integer, AvailabilityZone> zoneBySite) {
    this.table = table;
    this.packedByOctet = packedByOctet;
    this.zoneBySite = zoneBySite;
  }

  /**
   * Returns the directory of a new configuration.
   *
   * @throws org.corianderweir.model.WeirException with code {@code CONFIGURATION_INVALID} if a
   *     chunk can't be unpacked
   */
  public LookupDirectory withConfiguration(Configuration configuration) {
    Map<Integer, String> packed = new HashMap<>();
    ClientBlockTable changed = table;
    for (ClientBlockChunk chunk : configuration.clientBlocks()) {
      packed.put(chunk.firstOctet(), chunk.packed());
      if (!chunk.packed().equals(packedByOctet.get(chunk.firstOctet()))) {
        changed =
            changed.withShard(
                chunk.firstOctet(), ClientBlockPacking.unpack(chunk.firstOctet(), chunk.packed()));
      }
    }
    for (int octet : packedByOctet.keySet()) {
      if (!packed.containsKey(octet)) {
        changed = changed.withShard(octet, List.of());
      }
    }
    return new LookupDirectory(changed, packed, zonesBySite(configuration));
  }

  /**
   * Returns the availability zone that a client's address is steered to; empty if no block contains
   * the address, the site or its zone is unknown, or the text is not an IPv4 address.
   */
  public Optional<AvailabilityZone> zoneOf(String clientAddress) {
    return ClientBlock.parseAddress(clientAddress)
        .map(table::siteNumber)
        .flatMap(site -> Optional.ofNullable(zoneBySite.get(site)));
  }

  /** Returns the number of client blocks. */
  public int size() {
    return table.size();
  }

  private static Map<Integer, AvailabilityZone> zonesBySite(Configuration configuration) {
    Map<String, AvailabilityZone> zones = new HashMap<>();
    configuration.zones().forEach(zone -> zones.put(zone.name(), zone));
    Map<Integer, AvailabilityZone> bySite = new HashMap<>();
    for (Site site : configuration.sites()) {
      AvailabilityZone zone = zones.get(site.availabilityZone());
      if (zone != null) {
        bySite.put(site.number(), zone);
      }
    }
    return bySite;
  }
}
