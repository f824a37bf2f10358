package org.corianderweir.logic.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.corianderweir.model.platform.ListedInstance;
import org.corianderweir.model.topology.EntryInstance;

/**
 * The other availability zones: a sample of the instances of each, and the platform's instance list
 * as a hint, mainly for zones without a sample. The samples grow with the number of zones, not with
 * the number of instances. Only the control thread uses it.
 */
public final class ZoneDirectory {
  private static final long SAMPLE_LIFETIME_NANOSECONDS = Duration.ofMinutes(2).toNanos();

  private final String ownZone;
  private final Map<String, Entry> samplesByZone = new TreeMap<>();
  private Map<String, List<EntryInstance>> listedByZone = Map.of();

  private record Entry(ZoneSample sample, long receivedNanoseconds) {}

  /** Creates an empty directory for an instance of the given zone. */
  public ZoneDirectory(String ownZone) {
    this.ownZone = ownZone;
  }

  /** Replaces the hints by the platform's instance list, which may be out of date. */
  public void setListedInstances(Collection<ListedInstance> listed) {
    Map<String, List<EntryInstance>> byZone = new TreeMap<>();
    for (ListedInstance instance : listed) {
      byZone
          .computeIfAbsent(instance.instance().availabilityZone(), zone -> new ArrayList<>())
          .add(instance.instance());
    }
    listedByZone = byZone;
  }

  /**
   * Records a sample of another zone. A sample that was forwarded is ignored unless it is newer
   * than the known one.
   *
   * @param firstHand whether it was received directly from an instance of that zone
   * @return whether it names other instances than the sample known before
   */
  public boolean recordSample(ZoneSample sample, boolean firstHand, long nowNanoseconds) {
    Entry known = samplesByZone.get(sample.zone());
    boolean older = known != null && sample.version() <= known.sample().version();
    if (sample.zone().equals(ownZone) || (older && !firstHand)) {
      return false;
    }
    samplesByZone.put(sample.zone(), new Entry(sample, nowNanoseconds));
    return known == null || !known.sample().hasSameInstances(sample);
  }

  /** Removes the samples that were not renewed within their lifetime. */
  public void expire(long nowNanoseconds) {
    samplesByZone
        .values()
        .removeIf(
            entry -> nowNanoseconds - entry.receivedNanoseconds() > SAMPLE_LIFETIME_NANOSECONDS);
  }

  /** Returns the other zones that are known to have entry instances. */
  public Set<String> zones() {
    Set<String> zones = new TreeSet<>(listedByZone.keySet());
    zones.addAll(samplesByZone.keySet());
    zones.remove(ownZone);
    return zones;
  }

  /** Returns the samples. */
  public List<ZoneSample> samples() {
    return samplesByZone.values().stream().map(Entry::sample).toList();
  }

  /** Returns instances of the own zone that the platform lists. */
  public List<EntryInstance> listedOwnZoneInstances() {
    return listedByZone.getOrDefault(ownZone, List.of());
  }

  /**
   * Chooses an instance of another zone to send a request to, among its known relays and sometimes
   * also the platform's hints.
   */
  public Optional<EntryInstance> chooseContact(String zone, RandomGenerator random) {
    List<EntryInstance> candidates = new ArrayList<>(relays(zone));
    if (candidates.isEmpty() || random.nextInt(4) == 0) {
      candidates.addAll(listedByZone.getOrDefault(zone, List.of()));
    }
    return candidates.isEmpty()
        ? Optional.empty()
        : Optional.of(candidates.get(random.nextInt(candidates.size())));
  }

  /** Returns the known relays of another zone. */
  public List<EntryInstance> relays(String zone) {
    Entry entry = samplesByZone.get(zone);
    return entry == null
        ? List.of()
        : entry.sample().members().stream()
            .limit(Relays.RELAYS_PER_ZONE)
            .map(Member::instance)
            .toList();
  }

  /** Finds an instance of any zone by its name. */
  public Optional<EntryInstance> findInstance(String name) {
    Stream<EntryInstance> sampled =
        samplesByZone.values().stream()
            .flatMap(entry -> entry.sample().members().stream())
            .map(Member::instance);
    Stream<EntryInstance> listed = listedByZone.values().stream().flatMap(List::stream);
    return Stream.concat(sampled, listed)
        .filter(instance -> instance.name().equals(name))
        .findFirst();
  }
}
