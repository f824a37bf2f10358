package org.corianderweir.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.random.RandomGenerator;
import org.corianderweir.logic.keys.ZoneReport;
import org.corianderweir.logic.membership.ZoneDirectory;
import org.corianderweir.logic.membership.ZoneSample;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.protocol.MembershipMessage;
import org.corianderweir.protocol.MembershipMessage.AgedZoneReport;

/**
 * Requests for the state of the other availability zones. The number of requests in each tick is
 * bounded, however many zones there are.
 */
final class OtherZones {
  private static final int REQUESTS_PER_TICK = 2;
  private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;

  private final ZoneDirectory directory;
  private final SentTimes sentTimes;
  private final RandomGenerator random;

  OtherZones(String ownZone, RandomGenerator random) {
    directory = new ZoneDirectory(ownZone);
    sentTimes = new SentTimes(random.nextInt(1 << 30));
    this.random = random;
  }

  ZoneDirectory directory() {
    return directory;
  }

  /** Sends requests to some zones, chosen at random. */
  List<Action> requestZoneStates(ZoneSample ownSample, long nowNanoseconds) {
    List<String> zones = new ArrayList<>(directory.zones());
    Collections.shuffle(zones, new Random(random.nextLong()));
    List<Action> actions = new ArrayList<>();
    for (String zone : zones.subList(0, Math.min(REQUESTS_PER_TICK, zones.size()))) {
      Optional<EntryInstance> contact = directory.chooseContact(zone, random);
      if (contact.isPresent()) {
        long sequence = sentTimes.recordSend(nowNanoseconds);
        actions.add(
            new Action.Send(
                contact.get(), new MembershipMessage.ZoneStateRequest(sequence, ownSample)));
      }
    }
    return actions;
  }

  OptionalLong sentAt(long echoedSequence) {
    return sentTimes.sentAt(echoedSequence);
  }

  static List<AgedZoneReport> toAged(Collection<ZoneReport> reports, long nowNanoseconds) {
    return reports.stream()
        .map(
            report ->
                new AgedZoneReport(
                    report.zone(),
                    report.lowestRevision(),
                    report.highestRevision(),
                    report.hasStoreContact(),
                    ageMilliseconds(report.asOfNanoseconds(), nowNanoseconds)))
        .toList();
  }

  static ZoneReport fromAged(AgedZoneReport report, long sentNanoseconds) {
    return new ZoneReport(
        report.zone(),
        report.lowestRevision(),
        report.highestRevision(),
        report.hasStoreContact(),
        asOfNanoseconds(report.ageMilliseconds(), sentNanoseconds));
  }

  /**
   * Returns the age rounded up, so that information never appears more recent to its receiver than
   * it is.
   */
  static long ageMilliseconds(long asOfNanoseconds, long nowNanoseconds) {
    return Math.max(0, (nowNanoseconds - asOfNanoseconds) / NANOSECONDS_PER_MILLISECOND + 1);
  }

  static long asOfNanoseconds(long ageMilliseconds, long sentNanoseconds) {
    return sentNanoseconds - ageMilliseconds * NANOSECONDS_PER_MILLISECOND;
  }
}
